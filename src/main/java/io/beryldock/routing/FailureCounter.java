package io.beryldock.routing;

/**
 * Counts of calls and of failed calls that decay exponentially with time.
 *
 * <p>Not thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class FailureCounter {

    private static final double TIME_CONSTANT_NANOS = 10e9;

    private double calls;
    private double failures;
    private long updated;

    FailureCounter(long now) {
        this.updated = now;
    }

    void add(boolean failed, long now) {
        decay(now);
        calls += 1;
        failures += failed ? 1 : 0;
    }

    double calls(long now) {
        decay(now);
        return calls;
    }

    double failures(long now) {
        decay(now);
        return failures;
    }

    void clear() {
        calls = 0;
        failures = 0;
    }

    private void decay(long now) {
        double retained = Math.exp(-Math.max(0, now - updated) / TIME_CONSTANT_NANOS);
        calls *= retained;
        failures *= retained;
        updated = now;
    }
}
