package io.beryldock.routing;

import io.beryldock.routing.TargetHealth.Condition;
import java.time.Duration;

/**
 * Ejection state of one target: whether it is excluded from the choice because calls to it failed, and for how long.
 *
 * <p>After the ejection time the target is probed with one call at a time until a probe succeeds. Each ejection is
 * twice as long as the previous one, until the target has been healthy for {@link #RESET_NANOS}. Not thread safe;
 * guarded by the lock of {@link ServiceTargets}.
 */
final class Ejection {

    static final long RESET_NANOS = Duration.ofMinutes(1).toNanos();

    private static final int MAX_DOUBLINGS = 20;

    final FailureCounter failures;
    private int consecutiveFailures;
    private int ejections;
    private boolean ejected;
    private boolean unreachable;
    private long ejectedUntil;
    private long healthySince;

    Ejection(long now) {
        this.failures = new FailureCounter(now);
        this.ejectedUntil = now;
        this.healthySince = now;
    }

    Condition condition(long now) {
        if (!ejected) {
            return Condition.HEALTHY;
        }
        if (now >= ejectedUntil) {
            return Condition.PROBED;
        }
        return unreachable ? Condition.UNREACHABLE : Condition.EJECTED;
    }

    boolean isEjected() {
        return ejected;
    }

    /** Whether the target was ejected at least twice since its history was last reset. */
    boolean isRepeated() {
        return ejections > 1;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    void onSuccess(long now) {
        consecutiveFailures = 0;
        failures.add(false, now);
    }

    void onFailed(long now) {
        consecutiveFailures++;
        failures.add(true, now);
    }

    /** Ejects the target and returns the length in nanoseconds, which doubles with each ejection up to the maximum. */
    long eject(long now, boolean nodeUnreachable, ChooserSettings settings, double jitter) {
        if (!ejected && now - healthySince > RESET_NANOS) {
            ejections = 0;
        }
        int doublings = Math.min(MAX_DOUBLINGS, ejections);
        long unjittered = Math.min(
                settings.maxEjection().toNanos(), settings.firstEjection().toNanos() << doublings);
        long length = (long) (unjittered * (1 + jitter));
        ejections++;
        ejected = true;
        unreachable = nodeUnreachable;
        ejectedUntil = now + length;
        return length;
    }

    void reinstate(long now) {
        ejected = false;
        unreachable = false;
        consecutiveFailures = 0;
        healthySince = now;
        failures.clear();
    }

    /** Ends the ejection time early because the state of the target has changed: the next call is a probe. */
    void probeNow(long now) {
        ejectedUntil = Math.min(ejectedUntil, now);
    }
}
