package io.beryldock.credit;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Capacity in slots of the gates of one data centre, estimated from their reports.
 *
 * <p>The limit of a gate is its nominal capacity. It is corrected by what the gates show: queued requests are work
 * beyond the capacity; idle slots during a shortage are capacity that overestimated tree costs leave unused.
 *
 * <p>Invariants: a report is valid for {@link #REPORT_VALIDITY_NANOS}; the correction is bounded. Not thread safe.
 */
final class GateCapacity {

    /** Validity of a report. A gate that is silent for longer is lost, or no longer nearly full. */
    static final long REPORT_VALIDITY_NANOS = Duration.ofMillis(500).toNanos();

    /** Desired number of queued requests, as a share of the limit: keeps slots busy between arrivals. */
    private static final double DESIRED_QUEUE_SHARE = 0.05;

    /** Time within which requests queued beyond the desired number are to be served. */
    private static final double DRAIN_NANOS = 300e6;

    /** Minimum capacity of a gate, as a share of its limit, so that its recovery becomes visible. */
    private static final double MIN_SHARE = 0.25;

    private static final double MIN_GAIN = 0.7;
    private static final double MAX_GAIN = 1.25;

    /**
     * Integral gain per round for idle slots. Integral gains are small because trees reach the gates some rounds after
     * their credits were granted.
     */
    private static final double STEP_UP = 0.06;

    /**
     * Integral gain per round for excess queues. Larger than {@link #STEP_UP}, because a queue beyond the desired
     * length soon loses work, while idle slots merely wait for work.
     */
    private static final double STEP_DOWN = 0.1;

    private static final double MAX_ERROR = 0.2;

    private final Map<NodeId, ReceivedReport> reports = new HashMap<>();
    private double gain = 1;

    /** Last report of a gate. */
    record Report(int limit, int running, int queued, double meanNanos) {}

    private record ReceivedReport(Report report, long at) {}

    void report(NodeId gate, Report report, long now) {
        reports.put(gate, new ReceivedReport(report, now));
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
        double excess = Math.max(0, report.queued() - DESIRED_QUEUE_SHARE * report.limit());
        double slots = gain * report.limit() - excess * report.meanNanos() / DRAIN_NANOS;
        return Math.max(MIN_SHARE * report.limit(), slots);
    }

    private Collection<ReceivedReport> fresh(long now) {
        reports.values().removeIf(reported -> now - reported.at() > REPORT_VALIDITY_NANOS);
        return reports.values();
    }

    /** Adjusts the gain to what the gates show at the end of a round. */
    void updateGain(boolean isShort, long now) {
        double limits = 0;
        double idle = 0;
        double excess = 0;
        for (ReceivedReport reported : fresh(now)) {
            Report report = reported.report();
            limits += report.limit();
            idle += Math.max(0, report.limit() - report.running());
            excess += Math.max(0, report.queued() - DESIRED_QUEUE_SHARE * report.limit());
        }
        if (limits > 0) {
            double up = STEP_UP * Math.min(MAX_ERROR, idle / limits);
            double down = STEP_DOWN * Math.min(MAX_ERROR, excess / limits);
            // Without a shortage, slots may be idle for lack of demand, so the gain returns towards 1.
            double step = isShort ? up - down : STEP_UP * (1 - gain) - down;
            gain = Math.max(MIN_GAIN, Math.min(MAX_GAIN, gain + step));
        }
    }

    double gain() {
        return gain;
    }
}
