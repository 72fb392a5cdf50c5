package io.beryldock.configuration;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import io.beryldock.store.FakeRegistry;
import io.beryldock.store.SharingFleet;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Nodes of several data centres that follow the operators' document, and a judge of the version in force at each node.
 *
 * <p>Each node in touch must go by every version that was confirmed {@link #BOUND} ago, whatever happens to other
 * nodes; no process may go back to an older version. A node is in touch when neither it nor the store has been
 * disturbed for {@link #CALM}. The content of a document is its version number. Not thread safe.
 */
final class DocumentFleet {

    static final Duration BOUND = Duration.ofSeconds(2);
    static final Duration CALM = Duration.ofSeconds(3);

    /** Time from the start of a process until its node runs. */
    static final Duration PROCESS_START = Duration.ofMillis(700);

    private static final Duration STEP = Duration.ofMillis(50);
    private static final String KEY = "op/document";
    private static final Configuration DEFAULTS = Configuration.imported(0, List.of());

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Calm storeCalm = new Calm();
    private final Deque<Written> pending = new ArrayDeque<>();
    private final TreeSet<String> broken = new TreeSet<>();
    private long written;
    private long due;

    /** What may happen to a node or to the store. */
    enum Disturbance {
        /** The node's process does not run. */
        KILLED,
        /** The node runs nothing and exchanges no messages. */
        SUSPENDED,
        /** The node exchanges no messages with other nodes. */
        CUT,
        /** The store does not answer the node. */
        STORE_SILENT,
        /** The store turns the node away. */
        STORE_REFUSES,
        /** Watches hear nothing of changes. */
        STORE_WITHHOLDS
    }

    /** A version and the time at which the store confirmed it. */
    private record Written(long version, long at) {}

    /** One node: the configuration of its current process, null while no process runs. */
    private final class Node {
        private final String centre;
        private final Calm calm = new Calm();
        private ActiveConfiguration configuration;
        private long highest;

        Node(String centre) {
            this.centre = centre;
        }
    }

    /** The disturbances in progress, and the end of the last one. */
    private final class Calm {
        private final Set<Disturbance> disturbances = EnumSet.noneOf(Disturbance.class);
        private long since;

        void disturb(Disturbance disturbance) {
            disturbances.add(disturbance);
        }

        void end(Disturbance disturbance) {
            if (disturbances.remove(disturbance)) {
                since = now();
            }
        }

        boolean holds() {
            return disturbances.isEmpty() && now() - since >= CALM.toNanos();
        }
    }

    /** Starts nodes that have run long enough to be in touch. */
    static DocumentFleet start(int centres, int nodesPerCentre) {
        DocumentFleet fleet = new DocumentFleet();
        fleet.write();
        for (int centre = 0; centre < centres; centre++) {
            for (int node = 0; node < nodesPerCentre; node++) {
                fleet.addNode("c" + centre + "-n" + node, "c" + centre);
            }
        }
        fleet.advance(Duration.ofSeconds(6));
        return fleet;
    }

    /** The nodes of the data centre in the order in which they are chosen to watch the store. */
    List<String> watcherOrder(String centre) {
        ImmutableSet<NodeId> members = idsOf(centre).stream().map(NodeId::of).collect(ImmutableSet.toImmutableSet());
        return NodeRanking.of(members, "store-watcher").stream()
                .map(NodeId::value)
                .toList();
    }

    private void addNode(String id, String centre) {
        Node node = new Node(centre);
        nodes.put(id, node);
        node.calm.since = now();
        startNode(id);
    }

    private void startNode(String id) {
        Node node = nodes.get(id);
        node.configuration = ActiveConfiguration.create(DEFAULTS);
        node.highest = 0;
        StoreSharing sharing = fleet.add(id, node.centre);
        node.calm.disturbances.forEach(name -> apply(id, name, true));
        DocumentSync.create(node.configuration, sharing, KEY, DocumentFleet::decode)
                .start();
    }

    private static Configuration decode(ByteString document) throws ConfigurationException {
        return Configuration.imported(Long.parseLong(document.toStringUtf8()), List.of());
    }

    List<String> ids() {
        return List.copyOf(nodes.keySet());
    }

    List<String> idsOf(String centre) {
        return nodes.keySet().stream()
                .filter(id -> nodes.get(id).centre.equals(centre))
                .toList();
    }

    long now() {
        return timers.ticker().nanos();
    }

    /** The operators write the next version, which the store confirms at once. */
    void write() {
        written++;
        registry.write(KEY, ByteString.copyFromUtf8(Long.toString(written)));
        pending.add(new Written(written, now()));
    }

    /** Suspends the tasks of the node's process but not its answers to other nodes, as a task that has failed does. */
    void stopTasks(String id) {
        nodes.get(id).calm.disturb(Disturbance.SUSPENDED);
        fleet.suspend(id, true);
    }

    /** The node's watches end no more, although the store answers its other calls. */
    void loseWatches(String id) {
        fleet.view(id).setLosesWatches(true);
    }

    /** Ends the process and starts another one after the delay. */
    void restart(String id, Duration delay) {
        if (nodes.get(id).configuration == null) {
            return;
        }
        kill(id);
        timers.after(delay, () -> begin(id));
    }

    void kill(String id) {
        Node node = nodes.get(id);
        node.calm.disturb(Disturbance.KILLED);
        node.configuration = null;
        fleet.kill(id);
    }

    /** Starts a process, whose node runs after {@link #PROCESS_START}. */
    void begin(String id) {
        nodes.get(id).calm.end(Disturbance.KILLED);
        timers.after(PROCESS_START, () -> startNode(id));
    }

    /** Begins or ends a disturbance of one node. */
    void disturb(String id, Disturbance disturbance, boolean value) {
        Calm calm = nodes.get(id).calm;
        if (value) {
            calm.disturb(disturbance);
        } else {
            calm.end(disturbance);
        }
        if (nodes.get(id).configuration != null) {
            apply(id, disturbance, value);
        }
    }

    private void apply(String id, Disturbance disturbance, boolean value) {
        switch (disturbance) {
            case STORE_SILENT -> fleet.view(id).setSilent(value);
            case STORE_REFUSES -> fleet.view(id).setDown(value);
            case CUT -> setCut(id, value);
            case SUSPENDED -> {
                fleet.suspend(id, value);
                setCut(id, value);
            }
            default -> {}
        }
    }

    private void setCut(String id, boolean value) {
        if (value) {
            fleet.stop(id);
        } else {
            fleet.restart(id);
        }
    }

    /** Watches hear nothing of changes for the time, in which the operators write a version. */
    void withholdChange(Duration length) {
        storeCalm.disturb(Disturbance.STORE_WITHHOLDS);
        registry.setWithholding(true);
        timers.after(length.dividedBy(2), this::write);
        timers.after(length, () -> {
            registry.setWithholding(false);
            storeCalm.end(Disturbance.STORE_WITHHOLDS);
        });
    }

    /** As {@link #withholdChange}, then the history is discarded and watches fail. */
    void withholdChangeAndDiscardHistory(Duration length) {
        withholdChange(length);
        timers.after(length.minusNanos(1), registry::discardHistory);
    }

    void advance(Duration length) {
        long end = now() + length.toNanos();
        while (now() < end) {
            timers.advance(STEP);
            while (!pending.isEmpty() && now() - pending.peek().at() > BOUND.toNanos()) {
                due = pending.poll().version();
            }
            nodes.forEach(this::judge);
        }
    }

    private void judge(String id, Node node) {
        if (node.configuration == null) {
            return;
        }
        long version = node.configuration.current().version();
        if (version < node.highest) {
            broken.add(id + " went back from version " + node.highest);
        }
        node.highest = version;
        if (version < due && node.calm.holds() && storeCalm.holds()) {
            broken.add(id + " goes by version " + version + " when " + due + " is due");
        }
    }

    /** What the judge has found. */
    List<String> broken() {
        return List.copyOf(broken);
    }
}
