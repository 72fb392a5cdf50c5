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
 * Selects the peers to which a node sends changes and the nodes that watch the store, from one directory.
 *
 * <p>Immutable. The selection hashes node ids, so that all nodes with the same directory make the same selection, and a
 * node that joins or leaves changes few selections: connections are reused. Within the data centre a node has as
 * neighbours the two adjacent nodes on a ring of hashes, so that every node is the neighbour of another node, and
 * {@link #SHORTCUTS} more nodes, which keep the paths between any two nodes short.
 */
final class PeerSelection {

    /** Number of nodes of a data centre that watch the store. */
    static final int WATCHERS = 3;

    /** Number of neighbours in addition to the two on the ring. */
    static final int SHORTCUTS = 3;

    private static final int MAX_PICKS = 8;

    /**
     * Maximum number of consecutive selections that reuse the watchers of other data centres, because finding these
     * watchers takes a scan of all nodes.
     */
    private static final int MAX_REUSES = 8;

    private final NodeDescriptor self;
    private final Directory directory;
    private final ImmutableList<NodeDescriptor> ring;
    private final ImmutableList<NodeDescriptor> neighbours;
    private final boolean watcher;
    private final ImmutableList<ImmutableList<NodeDescriptor>> remoteWatchers;
    private final int reuses;

    private PeerSelection(NodeDescriptor self, Directory directory, Optional<PeerSelection> previous) {
        this.self = self;
        this.directory = directory;
        this.ring = ring(self, directory);
        this.neighbours = neighboursOf(self, ring);
        this.watcher = watchersOf(ring).contains(self);
        Optional<PeerSelection> reusable =
                previous.filter(selection -> selection.watcher && selection.reuses < MAX_REUSES);
        this.reuses = reusable.map(selection -> selection.reuses + 1).orElse(0);
        this.remoteWatchers = watcher
                ? reusable.map(selection -> selection.remoteWatchers)
                        .orElseGet(() -> findRemoteWatchers(self, directory))
                : ImmutableList.of();
    }

    /** Creates the selection for a directory, to which the node itself is added if it is not listed. */
    static PeerSelection of(NodeDescriptor self, Directory directory) {
        return new PeerSelection(self, directory, Optional.empty());
    }

    /** Creates the selection for a later directory. */
    PeerSelection next(Directory later) {
        boolean wasEmpty = directory.nodes().isEmpty();
        return new PeerSelection(self, later, wasEmpty ? Optional.empty() : Optional.of(this));
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

    private static ImmutableList<ImmutableList<NodeDescriptor>> findRemoteWatchers(
            NodeDescriptor self, Directory directory) {
        ImmutableList.Builder<ImmutableList<NodeDescriptor>> watchers = ImmutableList.builder();
        byDataCentre(directory).forEach((dataCentre, nodes) -> {
            if (!dataCentre.equals(self.dataCentre())) {
                watchers.add(watchersOf(nodes));
            }
        });
        return watchers.build();
    }

    private static Map<DataCentre, List<NodeDescriptor>> byDataCentre(Directory directory) {
        TreeMap<DataCentre, List<NodeDescriptor>> lists = new TreeMap<>();
        for (NodeDescriptor node : directory.nodes().values()) {
            lists.computeIfAbsent(node.dataCentre(), dataCentre -> new ArrayList<>())
                    .add(node);
        }
        return lists;
    }

    /** A node and its position in an order. Immutable. */
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

    /** Returns the position of a node in the order of {@link #ring()}. */
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

    /** Returns the directory from which this selection was made. */
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

    /** Returns the nodes of this data centre in order of {@link #ringHash}. */
    ImmutableList<NodeDescriptor> ring() {
        return ring;
    }

    /** Returns all nodes by data centre, each list in order of {@link #ringHash}; computed on each call. */
    ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members() {
        TreeMap<DataCentre, ImmutableList<NodeDescriptor>> members = new TreeMap<>();
        byDataCentre(directory).forEach((dataCentre, nodes) -> members.put(dataCentre, sorted(nodes, "ring")));
        members.put(self.dataCentre(), ring);
        return ImmutableSortedMap.copyOfSorted(members);
    }

    Optional<NodeDescriptor> neighbour(RandomGenerator random) {
        return pick(neighbours, random);
    }

    /**
     * Returns one random watcher from each of up to {@code dataCentres} other data centres; empty if this node is not a
     * watcher.
     */
    List<NodeDescriptor> remoteWatchers(int dataCentres, RandomGenerator random) {
        List<ImmutableList<NodeDescriptor>> remaining = new ArrayList<>(remoteWatchers);
        List<NodeDescriptor> chosen = new ArrayList<>();
        while (chosen.size() < dataCentres && !remaining.isEmpty()) {
            ImmutableList<NodeDescriptor> watchers = remaining.remove(random.nextInt(remaining.size()));
            chosen.add(watchers.get(random.nextInt(watchers.size())));
        }
        return chosen;
    }

    /** Returns a random node of another data centre; empty if a limited number of random picks finds none. */
    Optional<NodeDescriptor> anyRemoteNode(RandomGenerator random) {
        ImmutableList<NodeDescriptor> all = directory.nodes().values().asList();
        for (int i = 0; i < MAX_PICKS; i++) {
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
