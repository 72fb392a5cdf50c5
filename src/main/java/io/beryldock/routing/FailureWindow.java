package io.beryldock.routing;

/**
 * Failed and all calls of late, each counting less as time goes by.
 *
 * <p>Not thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class FailureWindow {

    private static final double TIME_CONSTANT_NANOS = 10e9;

    private double calls;
    private double failures;
    private long updated;

    FailureWindow(long now) {
        this.updated = now;
    }

    void add(boolean failed, long now) {
        fade(now);
        calls += 1;
        failures += failed ? 1 : 0;
    }

    double calls(long now) {
        fade(now);
        return calls;
    }

    double failures(long now) {
        fade(now);
        return failures;
    }

    void clear() {
        calls = 0;
        failures = 0;
    }

    private void fade(long now) {
        double kept = Math.exp(-Math.max(0, now - updated) / TIME_CONSTANT_NANOS);
        calls *= kept;
        failures *= kept;
        updated = now;
    }
}
