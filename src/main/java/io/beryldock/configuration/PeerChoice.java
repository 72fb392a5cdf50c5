package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Which peers a node tells of changes and which nodes watch the store, worked out from one directory.
 *
 * <p>Immutable. All by hashing of node ids, so that every node with the same directory chooses alike and a node that
 * joins or goes changes few choices: connections are made once and stay. Within the data centre a node has the two
 * nodes beside it on a ring of hashes, which makes sure that somebody has it as a neighbour, and {@link #SHORTCUTS}
 * more, which keep the way to any node short.
 */
final class PeerChoice {

    /** Nodes of a data centre that watch the store. */
    static final int WATCHERS = 3;

    /** Neighbours beside the two on the ring. */
    static final int SHORTCUTS = 3;

    private static final PeerChoice NONE =
            new PeerChoice(Directory.empty(), ImmutableSortedMap.of(), ImmutableList.of(), true, ImmutableList.of());

    private final Directory directory;
    private final ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members;
    private final ImmutableList<NodeDescriptor> neighbours;
    private final boolean watcher;
    private final ImmutableList<ImmutableList<NodeDescriptor>> watchersElsewhere;

    private PeerChoice(
            Directory directory,
            ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members,
            ImmutableList<NodeDescriptor> neighbours,
            boolean watcher,
            ImmutableList<ImmutableList<NodeDescriptor>> watchersElsewhere) {
        this.directory = directory;
        this.members = members;
        this.neighbours = neighbours;
        this.watcher = watcher;
        this.watchersElsewhere = watchersElsewhere;
    }

    /** Knows no peer; such a node watches the store itself. */
    static PeerChoice none() {
        return NONE;
    }

    /** The choice by a directory, to which the node itself is added if it lacks it. */
    static PeerChoice of(NodeDescriptor self, Directory directory) {
        ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members = members(self, directory);
        ImmutableList<NodeDescriptor> own = members.get(self.dataCentre());
        boolean watcher = watchersOf(own).contains(self);
        ImmutableList.Builder<ImmutableList<NodeDescriptor>> elsewhere = ImmutableList.builder();
        if (watcher) {
            members.forEach((place, nodes) -> {
                if (!place.equals(self.dataCentre())) {
                    elsewhere.add(watchersOf(nodes));
                }
            });
        }
        return new PeerChoice(directory, members, neighboursOf(self, own), watcher, elsewhere.build());
    }

    /** Every data centre's nodes in order of the hashes of their ids. */
    private static ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members(
            NodeDescriptor self, Directory directory) {
        TreeMap<DataCentre, List<NodeDescriptor>> lists = new TreeMap<>();
        for (NodeDescriptor node : directory.nodes().values()) {
            if (!node.id().equals(self.id())) {
                lists.computeIfAbsent(node.dataCentre(), place -> new ArrayList<>())
                        .add(node);
            }
        }
        lists.computeIfAbsent(self.dataCentre(), place -> new ArrayList<>()).add(self);
        ImmutableSortedMap.Builder<DataCentre, ImmutableList<NodeDescriptor>> members =
                ImmutableSortedMap.naturalOrder();
        lists.forEach((place, nodes) -> members.put(place, sorted(nodes, "ring")));
        return members.buildOrThrow();
    }

    private static ImmutableList<NodeDescriptor> sorted(List<NodeDescriptor> nodes, String salt) {
        record Hashed(long hash, NodeDescriptor node) {}
        return nodes.stream()
                .map(node -> new Hashed(hash(salt, node.id()), node))
                .sorted(Comparator.comparingLong(Hashed::hash)
                        .thenComparing(hashed -> hashed.node().id()))
                .map(Hashed::node)
                .collect(ImmutableList.toImmutableList());
    }

    private static long hash(String salt, NodeId id) {
        return Hashing.murmur3_128()
                .hashString(salt + '/' + id.value(), StandardCharsets.UTF_8)
                .asLong();
    }

    /** Position of a node in the order of {@link #members()}. */
    static long ringHash(NodeId id) {
        return hash("ring", id);
    }

    private static ImmutableList<NodeDescriptor> watchersOf(List<NodeDescriptor> nodes) {
        ImmutableList<NodeDescriptor> ranked = sorted(nodes, "watcher");
        return ranked.subList(0, Math.min(WATCHERS, ranked.size()));
    }

    private static ImmutableList<NodeDescriptor> neighboursOf(NodeDescriptor self, ImmutableList<NodeDescriptor> ring) {
        int at = ring.indexOf(self);
        int size = ring.size();
        List<NodeDescriptor> chosen = new ArrayList<>();
        chosen.add(ring.get((at + 1) % size));
        chosen.add(ring.get((at + size - 1) % size));
        ImmutableList<NodeDescriptor> ranked = sorted(ring, self.id().value());
        chosen.addAll(ranked.subList(0, Math.min(SHORTCUTS + 1, size)));
        return chosen.stream()
                .filter(node -> !node.id().equals(self.id()))
                .distinct()
                .limit(SHORTCUTS + 2)
                .collect(ImmutableList.toImmutableList());
    }

    /** The directory this choice was made from. */
    Directory directory() {
        return directory;
    }

    /** Whether this node watches the store for its data centre. */
    boolean watcher() {
        return watcher;
    }

    ImmutableList<NodeDescriptor> neighbours() {
        return neighbours;
    }

    /** All nodes by data centre, each list in order of {@link #ringHash}. */
    ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members() {
        return members;
    }

    Optional<NodeDescriptor> neighbour(RandomGenerator random) {
        return pick(neighbours, random);
    }

    /** Watchers of so many other data centres, one of each; none when this node is no watcher itself. */
    List<NodeDescriptor> watchersElsewhere(int dataCentres, RandomGenerator random) {
        List<ImmutableList<NodeDescriptor>> left = new ArrayList<>(watchersElsewhere);
        List<NodeDescriptor> chosen = new ArrayList<>();
        while (chosen.size() < dataCentres && !left.isEmpty()) {
            ImmutableList<NodeDescriptor> watchers = left.remove(random.nextInt(left.size()));
            chosen.add(watchers.get(random.nextInt(watchers.size())));
        }
        return chosen;
    }

    /** Any node of any data centre but this one, each data centre as likely as another. */
    Optional<NodeDescriptor> anyElsewhere(NodeDescriptor self, RandomGenerator random) {
        List<DataCentre> others = members.keySet().stream()
                .filter(place -> !place.equals(self.dataCentre()))
                .toList();
        return pick(others, random).flatMap(place -> pick(members.get(place), random));
    }

    private static <T> Optional<T> pick(List<T> list, RandomGenerator random) {
        return list.isEmpty() ? Optional.empty() : Optional.of(list.get(random.nextInt(list.size())));
    }
}
