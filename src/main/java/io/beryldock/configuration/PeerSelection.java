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
import java.util.Map;
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

    private static final int PICKS = 8;

    /** Choices in a row that keep the watchers of other data centres: to find them takes a look at every node. */
    private static final int KEEP_ELSEWHERE = 8;

    private final NodeDescriptor self;
    private final Directory directory;
    private final ImmutableList<NodeDescriptor> ring;
    private final ImmutableList<NodeDescriptor> neighbours;
    private final boolean watcher;
    private final ImmutableList<ImmutableList<NodeDescriptor>> watchersElsewhere;
    private final int kept;

    private PeerChoice(NodeDescriptor self, Directory directory, Optional<PeerChoice> before) {
        this.self = self;
        this.directory = directory;
        this.ring = ring(self, directory);
        this.neighbours = neighboursOf(self, ring);
        this.watcher = watchersOf(ring).contains(self);
        Optional<PeerChoice> fresh = before.filter(choice -> choice.watcher && choice.kept < KEEP_ELSEWHERE);
        this.kept = fresh.map(choice -> choice.kept + 1).orElse(0);
        this.watchersElsewhere = watcher
                ? fresh.map(choice -> choice.watchersElsewhere).orElseGet(() -> elsewhere(self, directory))
                : ImmutableList.of();
    }

    /** The choice by a directory, to which the node itself is added if it lacks it. */
    static PeerChoice of(NodeDescriptor self, Directory directory) {
        return new PeerChoice(self, directory, Optional.empty());
    }

    /** The choice by a later directory. */
    PeerChoice next(Directory later) {
        boolean first = directory.nodes().isEmpty();
        return new PeerChoice(self, later, first ? Optional.empty() : Optional.of(this));
    }

    private static ImmutableList<NodeDescriptor> ring(NodeDescriptor self, Directory directory) {
        List<NodeDescriptor> nodes = new ArrayList<>();
        nodes.add(self);
        for (NodeDescriptor node : directory.nodes().values()) {
            if (node.dataCentre().equals(self.dataCentre()) && !node.id().equals(self.id())) {
                nodes.add(node);
            }
        }
        return sorted(nodes, "ring");
    }

    private static ImmutableList<ImmutableList<NodeDescriptor>> elsewhere(NodeDescriptor self, Directory directory) {
        ImmutableList.Builder<ImmutableList<NodeDescriptor>> watchers = ImmutableList.builder();
        byDataCentre(directory).forEach((place, nodes) -> {
            if (!place.equals(self.dataCentre())) {
                watchers.add(watchersOf(nodes));
            }
        });
        return watchers.build();
    }

    private static Map<DataCentre, List<NodeDescriptor>> byDataCentre(Directory directory) {
        TreeMap<DataCentre, List<NodeDescriptor>> lists = new TreeMap<>();
        for (NodeDescriptor node : directory.nodes().values()) {
            lists.computeIfAbsent(node.dataCentre(), place -> new ArrayList<>()).add(node);
        }
        return lists;
    }

    /** A node and its place in an order. Immutable. */
    private record Hashed(long hash, NodeDescriptor node) {}

    private static ImmutableList<NodeDescriptor> sorted(List<NodeDescriptor> nodes, String salt) {
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

    /** Position of a node in the order of {@link #ring()}. */
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

    /** The nodes of this data centre in order of {@link #ringHash}. */
    ImmutableList<NodeDescriptor> ring() {
        return ring;
    }

    /** All nodes by data centre, each list in order of {@link #ringHash}; worked out anew at each call. */
    ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members() {
        TreeMap<DataCentre, ImmutableList<NodeDescriptor>> members = new TreeMap<>();
        byDataCentre(directory).forEach((place, nodes) -> members.put(place, sorted(nodes, "ring")));
        members.put(self.dataCentre(), ring);
        return ImmutableSortedMap.copyOfSorted(members);
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

    /** Any node of another data centre; empty when a few picks find none. */
    Optional<NodeDescriptor> anyElsewhere(RandomGenerator random) {
        ImmutableList<NodeDescriptor> all = directory.nodes().values().asList();
        for (int i = 0; i < PICKS; i++) {
            Optional<NodeDescriptor> picked =
                    pick(all, random).filter(node -> !node.dataCentre().equals(self.dataCentre()));
            if (picked.isPresent()) {
                return picked;
            }
        }
        return Optional.empty();
    }

    private static <T> Optional<T> pick(List<T> list, RandomGenerator random) {
        return list.isEmpty() ? Optional.empty() : Optional.of(list.get(random.nextInt(list.size())));
    }
}
