package io.beryldock.routing;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TargetLoad;
import io.beryldock.load.ReportedLoad;
import io.beryldock.membership.TargetRecord;
import java.time.Duration;

/**
 * What this node has seen of one start of one target.
 *
 * <p>Invariant: calls in flight are never below 0. Not thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class TargetStats {

    /** Share of draws that a cold target starts with. */
    static final double FIRST_SHARE = 0.1;

    private static final double LATENCY_TIME_CONSTANT_NANOS = 5e9;
    private static final double LEAST_SAMPLE_WEIGHT = 0.3;
    private static final double LEAST_SLOWNESS_WEIGHT = 0.1;
    private static final double PRESSURE_TIME_CONSTANT_NANOS = 2e9;
    private static final double PRESSURE_SAMPLE_WEIGHT = 0.3;

    /** A target that refuses everything looks this many times as loaded, and one more. */
    private static final double PRESSURE_PENALTY = 8;

    private static final double LEAST_SLOWNESS = 0.05;

    private static final long LEAVING_NANOS = Duration.ofSeconds(3).toNanos();

    final Ejection ejection;
    final ReportedLoad reported = new ReportedLoad();
    private TargetRecord record;
    private long rampStart;
    private long rampNanos;
    private int inFlight;
    private long lastProgress;
    private double latencyNanos;
    private long latencyUpdated;
    private double slowness = 1;
    private double pressure;
    private long pressureUpdated;
    private int level = ServiceLevel.OPEN;
    private long leavingUntil;

    TargetStats(TargetRecord record, long now) {
        this.record = record;
        this.ejection = new Ejection(now);
        this.rampStart = now;
        this.lastProgress = now;
        this.latencyUpdated = now;
        this.pressureUpdated = now;
        this.leavingUntil = now;
    }

    TargetRecord record() {
        return record;
    }

    void update(TargetRecord newer) {
        record = newer;
    }

    /** Gives the target a small share that grows to a full one within the time. */
    void startCold(long now, long nanos) {
        rampStart = now;
        rampNanos = nanos;
    }

    /** Share of draws, {@link #FIRST_SHARE} to 1. */
    double share(long now) {
        long elapsed = now - rampStart;
        return elapsed >= rampNanos ? 1 : FIRST_SHARE + (1 - FIRST_SHARE) * elapsed / rampNanos;
    }

    boolean isLeaving(long now) {
        return now < leavingUntil;
    }

    /** The target's node refused work as leaving, before the directory said so. */
    void onLeaving(long now) {
        leavingUntil = now + LEAVING_NANOS;
    }

    int inFlight() {
        return inFlight;
    }

    void onStart(long now) {
        if (inFlight == 0) {
            lastProgress = now;
        }
        inFlight++;
        reported.onSent();
    }

    void onEnd(long now) {
        inFlight = Math.max(0, inFlight - 1);
        lastProgress = now;
    }

    double latencyNanos() {
        return latencyNanos;
    }

    int level() {
        return level;
    }

    /**
     * Notes the latency of a call.
     *
     * @param relative how it relates to the usual of its kind
     */
    void onLatency(long sample, double relative, long now) {
        double faded = 1 - Math.exp(-(now - latencyUpdated) / LATENCY_TIME_CONSTANT_NANOS);
        if (latencyNanos == 0) {
            latencyNanos = sample;
        } else {
            latencyNanos += Math.max(LEAST_SAMPLE_WEIGHT, faded) * (sample - latencyNanos);
        }
        slowness += Math.max(LEAST_SLOWNESS_WEIGHT, faded) * (relative - slowness);
        latencyUpdated = now;
    }

    /** Forgets the latency, which may come from the time before an ejection. */
    void forgetLatency() {
        latencyNanos = 0;
        slowness = 1;
    }

    void onLevel(int reported) {
        level = reported;
    }

    void onPressure(double sample, long now) {
        double current = pressure(now);
        pressure = current + PRESSURE_SAMPLE_WEIGHT * (sample - current);
        pressureUpdated = now;
    }

    /** How much the target refused of late, 0 to 1; fades, as a refusal of long ago says nothing. */
    double pressure(long now) {
        return pressure * Math.exp(-(now - pressureUpdated) / PRESSURE_TIME_CONSTANT_NANOS);
    }

    /**
     * What was measured fades into what is usual: a target that was slow once is not chosen, so that no new measurement
     * would ever show it to be well again.
     */
    private double latencyOfLate(long now, double usualNanos) {
        if (latencyNanos == 0) {
            return usualNanos;
        }
        double kept = Math.exp(-(now - latencyUpdated) / LATENCY_TIME_CONSTANT_NANOS);
        return usualNanos + kept * (latencyNanos - usualNanos);
    }

    /**
     * Expected cost of one more call; the lower the better.
     *
     * <p>Calls in flight count with the latency of late. A target that stopped without a word is seen by the time since
     * its last progress, long before its calls fail.
     *
     * @param usualNanos latency to assume when none is known
     */
    double cost(long now, double usualNanos) {
        double latency = latencyOfLate(now, usualNanos);
        double stalled = inFlight == 0 ? 0 : now - lastProgress;
        double load = (inFlight + 1.0) / Math.max(1, record.slots());
        return load * Math.max(latency, stalled) * refusalFactor(now);
    }

    /** How much more expensive the target is for what it refused of late; own calls go before what it reports. */
    double refusalFactor(long now) {
        return 1 + PRESSURE_PENALTY * pressure(now);
    }

    /** Times the usual that a call of the same kind takes here, by own calls, else by what the target reports. */
    double slowness(UsualTimes usual, long now) {
        double measured = latencyNanos == 0 ? 0 : 1;
        double kept = measured * Math.exp(-(now - latencyUpdated) / LATENCY_TIME_CONSTANT_NANOS);
        double own = kept * slowness + (1 - kept) * reportedSlowness(usual);
        return Math.max(LEAST_SLOWNESS, own) * stall(usual, now);
    }

    private double reportedSlowness(UsualTimes usual) {
        double mean = reported.newest().map(TargetLoad::meanNanos).orElse(0L);
        return mean == 0 || usual.meanNanos() == 0 ? 1 : mean / usual.meanNanos();
    }

    /**
     * Above 1 when calls are in flight and none made progress for too long.
     *
     * <p>One call may be of the slowest kind; of several the first is expected to end in a part of that time.
     */
    double stall(UsualTimes usual, long now) {
        double longest = usual.slowestNanos();
        boolean unknown = inFlight == 0 || longest == 0;
        return unknown ? 1 : Math.max(1, inFlight * (now - lastProgress) / longest);
    }

    /** Requests at the target with one more, as a share of what it runs at once. */
    double busyShare(UsualTimes usual, long now) {
        return (busy(usual, now) + 1) / reported.limit(record.slots());
    }

    /**
     * How expensive the next slot is: 1 when all are free, the number of slots at the last one, more for each place in
     * the queue.
     */
    double crowding(UsualTimes usual, long now) {
        double limit = reported.limit(record.slots());
        double free = limit - busy(usual, now);
        return free >= 1 ? limit / free : limit + 1 - free;
    }

    /** Without a report the target is held to be as busy as the others, and no less than with own calls. */
    private double busy(UsualTimes usual, long now) {
        double weight = reported.weight(now);
        double assumed = Math.max(inFlight, usual.busyShare() * reported.limit(record.slots()));
        return weight * reported.busy() + (1 - weight) * assumed;
    }
}
