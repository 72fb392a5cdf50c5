package io.beryldock.routing;

import io.beryldock.routing.TargetHealth.Condition;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Leaves targets of one service out whose calls fail while those of others don't, and takes them back.
 *
 * <p>Invariant: no target is ejected for failed calls when more than the set share of the ready ones would then be left
 * out; one that can't be reached is left out whatever the share. Not thread safe; guarded by the lock of
 * {@link ServiceTargets}.
 */
final class OutlierDetector {

    private static final double FEWEST_CALLS = 5;
    private static final double FAILURE_RATE = 0.5;

    /** The other targets must fail at most this part as often, or the cause lies beneath all of them. */
    private static final double OTHERS_RATE = 0.5;

    private final RandomGenerator random;
    private final EventSink events;
    private final ChooserSettings settings;
    private final FailureWindow all;

    OutlierDetector(RandomGenerator random, EventSink events, ChooserSettings settings, long now) {
        this.random = random;
        this.events = events;
        this.settings = settings;
        this.all = new FailureWindow(now);
    }

    /** A call went well. */
    void onWell(TargetStats target, long now) {
        target.ejection.onWell(now);
        all.add(false, now);
        onAlive(target, now);
    }

    /** The target gave a sign of life: one that was unreachable, or is on probation, comes back. */
    void onAlive(TargetStats target, long now) {
        Condition condition = target.ejection.condition(now);
        if (condition != Condition.PROBED && condition != Condition.UNREACHABLE) {
            return;
        }
        target.ejection.comeBack(now);
        target.forgetLatency();
        target.startCold(now, settings.ramp().toNanos());
        events.record(EventKind.TARGET_RETURNED, target.record().node().id().value(), "takes calls again");
    }

    /** A call failed; {@code targets} are those of the service, of which {@code ready} are ready. */
    void onFailed(TargetStats target, Collection<TargetStats> targets, int ready, long now) {
        target.ejection.onFailed(now);
        all.add(true, now);
        Condition condition = target.ejection.condition(now);
        if (condition == Condition.PROBED) {
            eject(target, false, "its probe failed", now);
        } else if (condition == Condition.HEALTHY && isOutlier(target, now) && mayEject(targets, ready)) {
            eject(target, false, "its calls fail", now);
        }
    }

    /** Nobody takes connections there, or the connection was lost. */
    void onUnreachable(TargetStats target, String cause, long now) {
        eject(target, true, cause, now);
    }

    private boolean isOutlier(TargetStats target, long now) {
        FailureWindow own = target.ejection.window;
        double calls = own.calls(now);
        double rate = own.failures(now) / calls;
        boolean often = calls >= FEWEST_CALLS && rate >= FAILURE_RATE;
        if (!often && target.ejection.consecutive() < settings.consecutiveFailures()) {
            return false;
        }
        double otherCalls = all.calls(now) - calls;
        double otherRate = otherCalls < 1 ? 0 : (all.failures(now) - own.failures(now)) / otherCalls;
        return otherRate <= OTHERS_RATE * rate;
    }

    private boolean mayEject(Collection<TargetStats> targets, int ready) {
        long out = targets.stream().filter(target -> target.ejection.isOut()).count();
        return out + 1 <= Math.floor(settings.maxEjectedShare() * ready);
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
