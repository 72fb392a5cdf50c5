package io.beryldock.routing;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TargetLoad;
import io.beryldock.load.ReportedLoad;
import io.beryldock.membership.TargetRecord;
import java.time.Duration;

/**
 * Statistics of one incarnation of a target, collected from the calls of this node.
 *
 * <p>Invariant: the number of calls in flight is never negative. Not thread safe; guarded by the lock of
 * {@link ServiceTargets}.
 */
final class TargetStats {

    /** Ramp share that a cold target starts with. */
    static final double INITIAL_RAMP_SHARE = 0.1;

    private static final double LATENCY_TIME_CONSTANT_NANOS = 5e9;
    private static final double MIN_LATENCY_WEIGHT = 0.3;
    private static final double MIN_SLOWNESS_WEIGHT = 0.1;
    private static final double PRESSURE_TIME_CONSTANT_NANOS = 2e9;
    private static final double PRESSURE_SAMPLE_WEIGHT = 0.3;

    /** Cost increase of a target that refuses all calls, as a multiple of its cost without refusals. */
    private static final double PRESSURE_PENALTY = 8;

    private static final double MIN_SLOWNESS = 0.05;

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

    /** Starts the ramp: the share of the target grows from {@link #INITIAL_RAMP_SHARE} to 1 within the length. */
    void startRamp(long now, long lengthNanos) {
        rampStart = now;
        rampNanos = lengthNanos;
    }

    /** Probability that the target is accepted when it is sampled, {@link #INITIAL_RAMP_SHARE} to 1. */
    double rampShare(long now) {
        long elapsed = now - rampStart;
        return elapsed >= rampNanos ? 1 : INITIAL_RAMP_SHARE + (1 - INITIAL_RAMP_SHARE) * elapsed / rampNanos;
    }

    boolean isLeaving(long now) {
        return now < leavingUntil;
    }

    /** Records that the node refused a call because its target is leaving, which the directory may not show yet. */
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
     * Records the latency of a call.
     *
     * @param relativeLatency latency divided by the average of its kind
     */
    void onLatency(long sample, double relativeLatency, long now) {
        double decayed = 1 - Math.exp(-(now - latencyUpdated) / LATENCY_TIME_CONSTANT_NANOS);
        if (latencyNanos == 0) {
            latencyNanos = sample;
        } else {
            latencyNanos += Math.max(MIN_LATENCY_WEIGHT, decayed) * (sample - latencyNanos);
        }
        slowness += Math.max(MIN_SLOWNESS_WEIGHT, decayed) * (relativeLatency - slowness);
        latencyUpdated = now;
    }

    /** Resets the latency, which may have been measured before an ejection. */
    void resetLatency() {
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

    /** Recent refusals by the target, 0 to 1; decays because an old refusal says nothing about the present. */
    double pressure(long now) {
        return pressure * Math.exp(-(now - pressureUpdated) / PRESSURE_TIME_CONSTANT_NANOS);
    }

    /**
     * Average latency that decays towards the typical value.
     *
     * <p>Without the decay a target that was slow once would not be chosen again, so that no new measurement could show
     * its recovery.
     */
    private double decayedLatency(long now, double typicalNanos) {
        if (latencyNanos == 0) {
            return typicalNanos;
        }
        double retained = Math.exp(-(now - latencyUpdated) / LATENCY_TIME_CONSTANT_NANOS);
        return typicalNanos + retained * (latencyNanos - typicalNanos);
    }

    /**
     * Expected cost of one more call.
     *
     * <p>It is proportional to the calls in flight for each slot and to the recent latency. The time since the last
     * progress replaces the latency when it is longer, which reveals a hanging target long before its calls time out.
     *
     * @param typicalNanos latency to assume when none is known
     */
    double cost(long now, double typicalNanos) {
        double latency = decayedLatency(now, typicalNanos);
        double stalled = inFlight == 0 ? 0 : now - lastProgress;
        double load = (inFlight + 1.0) / Math.max(1, record.slots());
        return load * Math.max(latency, stalled) * refusalFactor(now);
    }

    /** Factor by which recent refusals raise the cost; measured refusals outweigh the load that the target reports. */
    double refusalFactor(long now) {
        return 1 + PRESSURE_PENALTY * pressure(now);
    }

    /**
     * Latency relative to the average of calls of the same kind, times the stall factor.
     *
     * <p>It is measured with calls of this node; as measurements age, the target's reported mean replaces them.
     */
    double slowness(ServiceBaseline baseline, long now) {
        double measured = latencyNanos == 0 ? 0 : 1;
        double retained = measured * Math.exp(-(now - latencyUpdated) / LATENCY_TIME_CONSTANT_NANOS);
        double own = retained * slowness + (1 - retained) * reportedSlowness(baseline);
        return Math.max(MIN_SLOWNESS, own) * stallFactor(baseline, now);
    }

    private double reportedSlowness(ServiceBaseline baseline) {
        double mean = reported.newest().map(TargetLoad::meanNanos).orElse(0L);
        return mean == 0 || baseline.meanNanos() == 0 ? 1 : mean / baseline.meanNanos();
    }

    /**
     * Factor above 1 when calls are in flight and none ended for too long.
     *
     * <p>A single call may be of the slowest kind. Of n calls in flight the first is expected to end within 1/n of the
     * latency of that kind.
     */
    double stallFactor(ServiceBaseline baseline, long now) {
        double slowestNanos = baseline.slowestNanos();
        boolean unknown = inFlight == 0 || slowestNanos == 0;
        return unknown ? 1 : Math.max(1, inFlight * (now - lastProgress) / slowestNanos);
    }

    /** Requests at the target including one more, divided by its concurrency limit. */
    double requestsPerSlot(ServiceBaseline baseline, long now) {
        return (occupiedSlots(baseline, now) + 1) / reported.limit(record.slots());
    }

    /**
     * Cost of the next slot: 1 when all slots are free, the number of slots for the last free one, and one more for
     * each place in the queue.
     */
    double slotCost(ServiceBaseline baseline, long now) {
        double limit = reported.limit(record.slots());
        double free = limit - occupiedSlots(baseline, now);
        return free >= 1 ? limit / free : limit + 1 - free;
    }

    /**
     * Estimated requests at the target.
     *
     * <p>As the report ages, the average load of the service's targets replaces it, but no less than the calls in
     * flight from this node.
     */
    private double occupiedSlots(ServiceBaseline baseline, long now) {
        double weight = reported.weight(now);
        double assumed = Math.max(inFlight, baseline.requestsPerSlot() * reported.limit(record.slots()));
        return weight * reported.busy() + (1 - weight) * assumed;
    }
}
