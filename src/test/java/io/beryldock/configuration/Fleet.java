package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.StoreCallCounts;
import io.beryldock.time.ManualTimerService;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;

/** Nodes of several data centres on one injected clock, with a network and a store whose faults are switched. */
final class Fleet {

    /** Headers of TCP, IP and the frame around a message, and a TLS record. */
    static final int MESSAGE_OVERHEAD = 90;

    private static final Duration DETECTION = Duration.ofSeconds(4);

    final ManualTimerService timers = ManualTimerService.create();
    final Random random;
    final InMemoryPlatformStore store;
    final List<FleetNode> nodes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<Long, String> changeAt = new HashMap<>();
    Directory directory = Directory.empty();
    double loss;
    double duplication;
    Duration latency = Duration.ofMillis(2);
    Duration latencyElsewhere = Duration.ofMillis(60);
    long lastNetworkChange;
    StoreCallCounts countsBefore;
    long measuredFrom;
    long cpuFrom;
    private final Set<String> cut = new HashSet<>();

    private final Set<String> cutFromStore = new HashSet<>();

    Fleet(long seed) {
        random = new Random(seed);
        store = InMemoryPlatformStore.create(timers, new Random(seed + 1));
    }

    static Fleet of(long seed, int dataCentres, int nodesEach) {
        Fleet fleet = new Fleet(seed);
        for (int place = 0; place < dataCentres; place++) {
            for (int i = 0; i < nodesEach; i++) {
                fleet.nodes.add(new FleetNode(fleet, fleet.descriptor("dc-" + place, fleet.nodes.size())));
            }
        }
        fleet.renewDirectory();
        return fleet;
    }

    NodeDescriptor descriptor(String place, int number) {
        return new NodeDescriptor(
                NodeId.of(place + "-n" + number),
                Incarnation.random(random),
                DataCentre.of(place),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1000 + number));
    }

    void renewDirectory() {
        directory = Directory.of(
                nodes.stream()
                        .filter(node -> node.listed)
                        .map(node -> node.self)
                        .toList(),
                List.of());
    }

    /** Lets the directory follow what became of a node, some seconds later, as a failure detector would. */
    void detect(FleetNode node) {
        timers.after(DETECTION, () -> {
            boolean alive = !node.stopped && !node.paused;
            if (node.listed != alive) {
                node.listed = alive;
                renewDirectory();
            }
        });
    }

    void start() {
        nodes.forEach(FleetNode::start);
    }

    void advance(Duration time) {
        timers.advance(time);
    }

    long now() {
        return timers.ticker().nanos();
    }

    // Network

    void send(FleetNode from, InetSocketAddress to, ByteString message) {
        int index = to.getPort() - 1000;
        if (index < 0 || index >= nodes.size() || from.stopped) {
            return;
        }
        FleetNode target = nodes.get(index);
        from.bytesSent += message.size() + MESSAGE_OVERHEAD;
        from.messagesSent++;
        if (random.nextDouble() < loss || !connected(from.place(), target.place())) {
            return;
        }
        deliver(from, target, message);
        if (random.nextDouble() < duplication) {
            deliver(from, target, message);
        }
    }

    private void deliver(FleetNode from, FleetNode target, ByteString message) {
        Duration base = from.place().equals(target.place()) ? latency : latencyElsewhere;
        long nanos = base.toNanos() / 2 + (long) (random.nextDouble() * base.toNanos());
        int incarnation = target.starts;
        timers.after(Duration.ofNanos(nanos), () -> {
            target.bytesReceived += message.size() + MESSAGE_OVERHEAD;
            target.onControl(incarnation, () -> target.sync.onMessage(from.self.id(), message));
        });
    }

    boolean connected(String a, String b) {
        return a.equals(b) || !cut.contains(pair(a, b));
    }

    boolean reachesStore(String place) {
        return !cutFromStore.contains(place);
    }

    void cut(String a, String b, boolean apart) {
        lastNetworkChange = now();
        if (apart) {
            cut.add(pair(a, b));
        } else {
            cut.remove(pair(a, b));
        }
    }

    void cutFromStore(String place, boolean apart) {
        lastNetworkChange = now();
        if (apart) {
            cutFromStore.add(place);
        } else {
            cutFromStore.remove(place);
        }
    }

    void healAll() {
        lastNetworkChange = now();
        cut.clear();
        cutFromStore.clear();
        nodes.forEach(FleetNode::resume);
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    }

    /** Data centres that hear of a change made in one of them by way of others with a node that was up since then. */
    Set<String> reachableFrom(String place, long since) {
        Set<String> all = new HashSet<>();
        nodes.stream().filter(node -> node.steadySince < since).forEach(node -> all.add(node.place()));
        Set<String> reached = new HashSet<>(Set.of(place));
        boolean grown = true;
        while (grown) {
            List<String> next = all.stream()
                    .filter(other -> !reached.contains(other))
                    .filter(other -> reached.stream().anyMatch(known -> connected(known, other)))
                    .toList();
            grown = reached.addAll(next);
        }
        return reached;
    }

    // Checks

    void note(FleetNode node, Configuration next) {
        if (next.version() <= node.highest) {
            violations.add(node.self.id() + " fell from " + node.highest + " to " + next.version());
        }
        node.highest = next.version();
        String text = next.toJson();
        String known = changeAt.putIfAbsent(next.version(), text);
        if (known != null && !known.equals(text)) {
            violations.add("version " + next.version() + " differs at " + node.self.id());
        }
    }

    ImmutableList<String> behind(long version) {
        return nodes.stream()
                .filter(node -> !node.stopped && node.keeper.current().version() < version)
                .map(node -> node.self.id() + "@" + node.keeper.current().version())
                .collect(ImmutableList.toImmutableList());
    }

    /** Runs a task and notes what it throws. */
    Executor guarded() {
        return task -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                violations.add(String.valueOf(e));
            }
        };
    }
}
