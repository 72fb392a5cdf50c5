package io.beryldock.routing;

import io.beryldock.routing.TargetHealth.Condition;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Ejects targets of one service whose calls fail while calls to its other targets succeed, and reinstates them later.
 *
 * <p>Invariant: a target is not ejected for failed calls if more than the configured share of the ready targets would
 * then be ejected. An unreachable target is ejected regardless of that share. Not thread safe; guarded by the lock of
 * {@link ServiceTargets}.
 */
final class OutlierDetector {

    private static final double MIN_CALLS = 5;
    private static final double MIN_FAILURE_RATE = 0.5;

    /** Highest failure rate of the other targets relative to this one; above it a shared dependency is the cause. */
    private static final double MAX_OTHERS_RATIO = 0.5;

    private final RandomGenerator random;
    private final EventSink events;
    private final ChooserSettings settings;
    private final FailureCounter allCalls;

    OutlierDetector(RandomGenerator random, EventSink events, ChooserSettings settings, long now) {
        this.random = random;
        this.events = events;
        this.settings = settings;
        this.allCalls = new FailureCounter(now);
    }

    /** Records a successful call. */
    void onSuccess(TargetStats target, long now) {
        target.ejection.onSuccess(now);
        allCalls.add(false, now);
        onAlive(target, now);
    }

    /** Records that the target responded; reinstates it if it was unreachable or is being probed. */
    void onAlive(TargetStats target, long now) {
        Condition condition = target.ejection.condition(now);
        if (condition != Condition.PROBED && condition != Condition.UNREACHABLE) {
            return;
        }
        target.ejection.reinstate(now);
        target.resetLatency();
        target.startRamp(now, settings.ramp().toNanos());
        events.record(EventKind.TARGET_RETURNED, target.record().node().id().value(), "takes calls again");
    }

    /**
     * Records a failed call and ejects the target if it is an outlier or its probe failed.
     *
     * @param targets all known targets of the service
     * @param ready number of ready targets of the service
     */
    void onFailed(TargetStats target, Collection<TargetStats> targets, int ready, long now) {
        target.ejection.onFailed(now);
        allCalls.add(true, now);
        Condition condition = target.ejection.condition(now);
        if (condition == Condition.PROBED) {
            eject(target, false, "its probe failed", now);
        } else if (condition == Condition.HEALTHY && isOutlier(target, now) && mayEject(targets, ready)) {
            eject(target, false, "its calls fail", now);
        }
    }

    /** Ejects the target because it accepts no connections or the connection to its node was lost. */
    void onUnreachable(TargetStats target, String cause, long now) {
        eject(target, true, cause, now);
    }

    private boolean isOutlier(TargetStats target, long now) {
        FailureCounter counter = target.ejection.failures;
        double calls = counter.calls(now);
        double rate = counter.failures(now) / calls;
        boolean exceedsRate = calls >= MIN_CALLS && rate >= MIN_FAILURE_RATE;
        if (!exceedsRate && target.ejection.consecutiveFailures() < settings.consecutiveFailures()) {
            return false;
        }
        double otherCalls = allCalls.calls(now) - calls;
        double otherRate = otherCalls < 1 ? 0 : (allCalls.failures(now) - counter.failures(now)) / otherCalls;
        return otherRate <= MAX_OTHERS_RATIO * rate;
    }

    private boolean mayEject(Collection<TargetStats> targets, int ready) {
        long ejected =
                targets.stream().filter(target -> target.ejection.isEjected()).count();
        return ejected + 1 <= Math.floor(settings.maxEjectedShare() * ready);
    }

    private void eject(TargetStats target, boolean unreachable, String cause, long now) {
        Condition condition = target.ejection.condition(now);
        if (condition == Condition.EJECTED || condition == Condition.UNREACHABLE) {
            return;
        }
        long nanos = target.ejection.eject(now, unreachable, settings, random.nextDouble() / 2);
        String detail = cause + "; left out for " + Duration.ofNanos(nanos).toMillis() + " ms";
        events.record(EventKind.TARGET_EJECTED, target.record().node().id().value(), detail);
    }
}
