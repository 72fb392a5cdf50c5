package io.beryldock.measure;

import com.google.common.collect.ImmutableMap;
import io.beryldock.measure.MembershipFleet.FleetNode;
import io.beryldock.membership.MembershipSettings;
import io.beryldock.membership.MembershipStatistics;
import io.beryldock.membership.Reachability;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Measures what membership costs a node and how soon news reaches all, on a manual clock and a fake network.
 *
 * <p>Prints one JSON line: {@code java -cp target/beryldock.jar io.beryldock.measure.MembershipMeasurement CENTRES
 * MEMBERS [SEED]}. Bytes are those of the messages themselves; times are of the manual clock, processor time is of the
 * real one. Single-threaded.
 */
public final class MembershipMeasurement {

    private static final Duration WARM_UP = Duration.ofSeconds(60);
    private static final Duration STEADY = Duration.ofSeconds(60);
    private static final Duration BOUND = Duration.ofSeconds(60);
    private static final int CHANGES_A_SECOND = 2;
    private static final double NANOS_A_MICRO = 1_000;
    private static final int ROUNDS = 5;

    private final int centres;
    private final int members;
    private final MembershipFleet fleet;
    private final Random random;

    private MembershipMeasurement(int centres, int members, long seed) {
        this.centres = centres;
        this.members = members;
        this.fleet = MembershipFleet.create(seed, MembershipSettings.of(List.of(MembershipFleet.address(0, 0))));
        this.random = new Random(seed);
    }

    public static void main(String[] args) {
        int centres = Integer.parseInt(args[0]);
        int members = Integer.parseInt(args[1]);
        long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        MembershipMeasurement measurement = new MembershipMeasurement(centres, members, seed);
        System.out.println(measurement.run());
    }

    private String run() {
        ImmutableMap.Builder<String, Object> line = ImmutableMap.builder();
        line.put("centres", centres).put("members", members);
        line.put("startSeconds", seconds(startAll()));
        fleet.advance(WARM_UP);
        line.put("directoryComplete", fleet.running().stream().allMatch(this::isComplete));
        putLoad(line, "steady", measure(STEADY, 0));
        putLoad(line, "changing", measure(STEADY, CHANGES_A_SECOND));
        line.put("changesASecond", CHANGES_A_SECOND);
        fleet.advance(WARM_UP);
        line.put("newTargetSeconds", worst(this::timeOfNewTarget));
        line.put("leavingSeconds", worst(this::timeOfLeaving));
        line.put("leftSeconds", worst(this::timeOfLeft));
        line.put("suspectedSeconds", worst(() -> timeOfFailure(true)));
        line.put("failedSeconds", worst(() -> timeOfFailure(false)));
        line.put("storeReads", fleet.store().counts().reads());
        line.put("storeWrites", fleet.store().counts().writes());
        return json(line.build());
    }

    private Duration startAll() {
        long begin = fleet.now();
        for (int number = 0; number < members; number++) {
            for (int centre = 0; centre < centres; centre++) {
                fleet.start(centre, number);
                fleet.advance(Duration.ofMillis(5));
            }
        }
        fleet.timeUntilAll(this::isComplete, Duration.ofMinutes(5));
        return Duration.ofNanos(fleet.now() - begin);
    }

    private boolean isComplete(FleetNode node) {
        return node.service().directory().nodes().size() == fleet.running().size();
    }

    /** Cost a node and second over the time, with so many targets changing their state each second. */
    private Load measure(Duration time, int changes) {
        List<MembershipStatistics> before = statistics();
        long busy = busy();
        long most = 0;
        for (int second = 0; second < time.toSeconds(); second++) {
            for (int i = 0; i < changes; i++) {
                FleetNode node = anyRunning();
                TargetState next = node.state() == TargetState.READY ? TargetState.STARTING : TargetState.READY;
                fleet.announce(node, next);
                fleet.advance(Duration.ofSeconds(1).dividedBy(changes));
            }
            if (changes == 0) {
                fleet.advance(Duration.ofSeconds(1));
            }
        }
        List<MembershipStatistics> after = statistics();
        long bytes = 0;
        long messages = 0;
        for (int i = 0; i < before.size(); i++) {
            long sent = after.get(i).bytesSent() - before.get(i).bytesSent();
            bytes += sent;
            most = Math.max(most, sent);
            messages += after.get(i).messagesSent() - before.get(i).messagesSent();
        }
        double nodeSeconds = (double) before.size() * time.toSeconds();
        return new Load(
                bytes / nodeSeconds,
                (double) most / time.toSeconds(),
                messages / nodeSeconds,
                (busy() - busy) / nodeSeconds / NANOS_A_MICRO);
    }

    private record Load(double bytes, double mostBytes, double messages, double micros) {}

    private static void putLoad(ImmutableMap.Builder<String, Object> line, String name, Load load) {
        line.put(name + "BytesSentASecond", load.bytes());
        line.put(name + "MostBytesSentASecond", load.mostBytes());
        line.put(name + "MessagesSentASecond", load.messages());
        line.put(name + "ProcessorMicrosASecond", load.micros());
    }

    private Duration timeOfNewTarget() {
        FleetNode node = anyRunning();
        fleet.announce(node, TargetState.STARTING);
        fleet.advance(Duration.ofSeconds(10));
        fleet.announce(node, TargetState.READY);
        return fleet.timeUntilAll(other -> seen(other, node, TargetState.READY), BOUND);
    }

    private Duration timeOfLeaving() {
        FleetNode node = anyRunning();
        fleet.announce(node, TargetState.LEAVING);
        Duration time = fleet.timeUntilAll(other -> seen(other, node, TargetState.LEAVING), BOUND);
        fleet.announce(node, TargetState.READY);
        fleet.advance(Duration.ofSeconds(10));
        return time;
    }

    private Duration timeOfLeft() {
        FleetNode node = anyRunning();
        fleet.leave(node);
        Duration time = fleet.timeUntilAll(
                other -> other == node
                        || !other.service()
                                .directory()
                                .nodes()
                                .containsKey(node.descriptor().id()),
                BOUND);
        fleet.restart(node);
        fleet.advance(WARM_UP);
        return time;
    }

    private Duration timeOfFailure(boolean suspected) {
        FleetNode node = anyRunning();
        fleet.kill(node);
        Duration time = fleet.timeUntilAll(other -> isNoticed(other, node, suspected), BOUND);
        fleet.restart(node);
        fleet.advance(WARM_UP);
        return time;
    }

    private static boolean isNoticed(FleetNode other, FleetNode lost, boolean suspected) {
        boolean local = other.descriptor().dataCentre().equals(lost.descriptor().dataCentre());
        if (!suspected) {
            return !other.service()
                    .directory()
                    .nodes()
                    .containsKey(lost.descriptor().id());
        }
        return !local || other.service().directory().reachability(lost.descriptor()) != Reachability.REACHABLE;
    }

    private static boolean seen(FleetNode other, FleetNode node, TargetState state) {
        for (TargetRecord target : other.service().directory().targetsOf(node.target())) {
            if (target.node().equals(node.descriptor())) {
                return target.state() == state;
            }
        }
        return false;
    }

    private List<Double> worst(Supplier<Duration> measured) {
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            times.add(seconds(measured.get()));
        }
        return times;
    }

    private FleetNode anyRunning() {
        List<FleetNode> running = fleet.running();
        return running.get(1 + random.nextInt(running.size() - 1));
    }

    private List<MembershipStatistics> statistics() {
        return fleet.running().stream().map(node -> node.service().statistics()).toList();
    }

    private long busy() {
        return fleet.running().stream().mapToLong(FleetNode::busyNanos).sum();
    }

    private static double seconds(Duration time) {
        return time.toMillis() / 1000.0;
    }

    private static String json(ImmutableMap<String, Object> fields) {
        List<String> parts = new ArrayList<>();
        fields.forEach((name, value) -> parts.add("\"" + name + "\":" + format(value)));
        return "{" + String.join(",", parts) + "}";
    }

    private static String format(Object value) {
        return value instanceof Double number ? String.format(Locale.ROOT, "%.1f", number) : value.toString();
    }
}
