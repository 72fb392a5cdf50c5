package io.beryldock.credit;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How many slots the gates of one data centre have to give, by their reports.
 *
 * <p>The limit of a gate is what it can serve; what it really serves is corrected by what shows at the gate: requests
 * that wait are work without room, idle slots during a shortage are room that the costs of trees have hidden.
 *
 * <p>Invariants: a report counts for {@link #COUNTS_NANOS}; the correction is bounded. Not thread safe.
 */
final class GateRoom {

    /** A gate that is silent for longer is lost, or no longer nearly full. */
    static final long COUNTS_NANOS = Duration.ofMillis(500).toNanos();

    /** Waiting requests, as a share of the limit, that keep slots busy between arrivals. */
    private static final double QUEUE_GOAL = 0.05;

    /** Time in which requests that wait beyond the goal are to be served. */
    private static final double DRAIN_NANOS = 300e6;

    /** What a gate gives at least, so that its recovery shows. */
    private static final double LEAST_SHARE = 0.25;

    private static final double LEAST_GAIN = 0.7;
    private static final double MOST_GAIN = 1.25;

    /** Integral gains a round; trees reach the gates some rounds after their credits were given out. */
    private static final double STEP_UP = 0.06;

    /** A queue beyond the goal loses work soon, idle slots only wait for it. */
    private static final double STEP_DOWN = 0.1;

    private static final double MOST_ERROR = 0.2;

    private final Map<NodeId, Reported> reports = new HashMap<>();
    private double gain = 1;

    /** What a gate told last. */
    record Report(int limit, int running, int queued, double meanNanos) {}

    private record Reported(Report report, long at) {}

    void report(NodeId gate, Report report, long now) {
        reports.put(gate, new Reported(report, now));
    }

    int reporting(long now) {
        return fresh(now).size();
    }

    double slots(long now) {
        return fresh(now).stream()
                .mapToDouble(reported -> slots(reported.report()))
                .sum();
    }

    private double slots(Report report) {
        double excess = Math.max(0, report.queued() - QUEUE_GOAL * report.limit());
        double slots = gain * report.limit() - excess * report.meanNanos() / DRAIN_NANOS;
        return Math.max(LEAST_SHARE * report.limit(), slots);
    }

    private Collection<Reported> fresh(long now) {
        reports.values().removeIf(reported -> now - reported.at() > COUNTS_NANOS);
        return reports.values();
    }

    /** Corrects by what the gates show at the end of a round. */
    void correct(boolean isShort, long now) {
        double limits = 0;
        double idle = 0;
        double excess = 0;
        for (Reported reported : fresh(now)) {
            Report report = reported.report();
            limits += report.limit();
            idle += Math.max(0, report.limit() - report.running());
            excess += Math.max(0, report.queued() - QUEUE_GOAL * report.limit());
        }
        if (limits > 0) {
            double up = STEP_UP * Math.min(MOST_ERROR, idle / limits);
            double down = STEP_DOWN * Math.min(MOST_ERROR, excess / limits);
            // Slots are idle for want of demand too, which tells nothing.
            double step = isShort ? up - down : STEP_UP * (1 - gain) - down;
            gain = Math.max(LEAST_GAIN, Math.min(MOST_GAIN, gain + step));
        }
    }

    double gain() {
        return gain;
    }
}
