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

/** Simulates nodes of several data centres with one manual clock, and a network and a store with injectable faults. */
final class Fleet {

    /** Bytes per message for the headers of TCP, IP, the frame and a TLS record. */
    static final int MESSAGE_OVERHEAD = 90;

    private static final Duration DETECTION = Duration.ofSeconds(4);

    final ManualTimerService timers = ManualTimerService.create();
    final Random random;
    final InMemoryPlatformStore store;
    final List<FleetNode> nodes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<Long, String> documentByVersion = new HashMap<>();
    Directory directory = Directory.empty();
    double loss;
    double duplication;
    Duration latency = Duration.ofMillis(2);
    Duration remoteLatency = Duration.ofMillis(60);
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
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            for (int i = 0; i < nodesEach; i++) {
                fleet.nodes.add(new FleetNode(fleet, fleet.descriptor("dc-" + dataCentre, fleet.nodes.size())));
            }
        }
        fleet.renewDirectory();
        return fleet;
    }

    NodeDescriptor descriptor(String dataCentre, int number) {
        return new NodeDescriptor(
                NodeId.of(dataCentre + "-n" + number),
                Incarnation.random(random),
                DataCentre.of(dataCentre),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1000 + number));
    }

    void renewDirectory() {
        directory = Directory.of(
                nodes.stream()
                        .filter(node -> node.inDirectory)
                        .map(node -> node.self)
                        .toList(),
                List.of());
    }

    /** Updates the directory with the state of a node after some seconds, as a failure detector would. */
    void updateDirectoryLater(FleetNode node) {
        timers.after(DETECTION, () -> {
            boolean alive = !node.stopped && !node.paused;
            if (node.inDirectory != alive) {
                node.inDirectory = alive;
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

    void send(FleetNode from, InetSocketAddress to, ByteString message) {
        int index = to.getPort() - 1000;
        if (index < 0 || index >= nodes.size() || from.stopped) {
            return;
        }
        FleetNode target = nodes.get(index);
        from.bytesSent += message.size() + MESSAGE_OVERHEAD;
        from.messagesSent++;
        if (random.nextDouble() < loss || !connected(from.dataCentre(), target.dataCentre())) {
            return;
        }
        deliver(from, target, message);
        if (random.nextDouble() < duplication) {
            deliver(from, target, message);
        }
    }

    private void deliver(FleetNode from, FleetNode target, ByteString message) {
        Duration base = from.dataCentre().equals(target.dataCentre()) ? latency : remoteLatency;
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

    boolean reachesStore(String dataCentre) {
        return !cutFromStore.contains(dataCentre);
    }

    void cut(String a, String b, boolean separated) {
        lastNetworkChange = now();
        if (separated) {
            cut.add(pair(a, b));
        } else {
            cut.remove(pair(a, b));
        }
    }

    void cutFromStore(String dataCentre, boolean separated) {
        lastNetworkChange = now();
        if (separated) {
            cutFromStore.add(dataCentre);
        } else {
            cutFromStore.remove(dataCentre);
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

    /**
     * Returns the data centres that a change made in one data centre can reach, directly or through data centres with a
     * node that has been running since the given time.
     */
    Set<String> reachableFrom(String dataCentre, long since) {
        Set<String> all = new HashSet<>();
        nodes.stream().filter(node -> node.runningSince < since).forEach(node -> all.add(node.dataCentre()));
        Set<String> reached = new HashSet<>(Set.of(dataCentre));
        boolean extended = true;
        while (extended) {
            List<String> next = all.stream()
                    .filter(other -> !reached.contains(other))
                    .filter(other -> reached.stream().anyMatch(known -> connected(known, other)))
                    .toList();
            extended = reached.addAll(next);
        }
        return reached;
    }

    void checkVersion(FleetNode node, Configuration next) {
        if (next.version() <= node.highestVersion) {
            violations.add(node.self.id() + " went back from " + node.highestVersion + " to " + next.version());
        }
        node.highestVersion = next.version();
        String text = next.toJson();
        String known = documentByVersion.putIfAbsent(next.version(), text);
        if (known != null && !known.equals(text)) {
            violations.add("version " + next.version() + " differs at " + node.self.id());
        }
    }

    ImmutableList<String> behind(long version) {
        return nodes.stream()
                .filter(node ->
                        !node.stopped && node.activeConfiguration.current().version() < version)
                .map(node -> node.self.id() + "@"
                        + node.activeConfiguration.current().version())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns an executor that runs tasks and records their exceptions as violations. */
    Executor recordingFailures() {
        return task -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                violations.add(String.valueOf(e));
            }
        };
    }
}
