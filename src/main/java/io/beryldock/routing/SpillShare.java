package io.beryldock.routing;

/**
 * The share of a service's calls that leave the own data centre although it has healthy targets.
 *
 * <p>Rises with the difference between what the own and what the other data centres refuse, and falls back by itself,
 * slowly enough not to swing. While both refuse, calls come home quickly: crossing over helps nobody and costs bytes
 * between data centres. Where the targets report their load, the waits of both sides move it as well. Invariant:
 * between 0 and {@link #MAX}. Not thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class SpillShare {

    /** Some calls always stay, as only they tell when the own data centre has room again. */
    static final double MAX = 0.9;

    private static final double GAIN_PER_SECOND = 1;
    private static final double LEAK_PER_SECOND = 0.05;

    /** Return home a second while the other data centres are under full pressure too. */
    private static final double HOME_PER_SECOND = 1;

    private static final double PRESSURE_TIME_CONSTANT = 1;
    private static final double MAX_STEP_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** All callers of a data centre move at once, on reports that are some hundred ms old. */
    private static final double WAIT_GAIN_PER_SECOND = 0.4;

    private final CentreWaits waits;
    private double share;
    private double near;
    private double far;
    private long nearUpdated;
    private long farUpdated;
    private long updated;

    SpillShare(long now, CentreWaits waits) {
        this.waits = waits;
        this.updated = now;
        this.nearUpdated = now;
        this.farUpdated = now;
    }

    double value(long now) {
        advance(now);
        return share;
    }

    /** A call ended; {@code pressure} is 1 for a refusal, else the part of work that the target's level shuts out. */
    void onResult(boolean own, double pressure, long now) {
        advance(now);
        if (own) {
            near = blend(near, pressure, now - nearUpdated);
            nearUpdated = now;
        } else {
            far = blend(far, pressure, now - farUpdated);
            farUpdated = now;
        }
    }

    private static double blend(double old, double sample, long elapsedNanos) {
        double weight = 1 - Math.exp(-Math.max(0, elapsedNanos) / NANOS_PER_SECOND / PRESSURE_TIME_CONSTANT);
        return old + Math.max(0.05, weight) * (sample - old);
    }

    private void advance(long now) {
        double seconds = Math.min(MAX_STEP_SECONDS, Math.max(0, now - updated) / NANOS_PER_SECOND);
        updated = now;
        double leak = waits.isKnown(now) ? 0 : LEAK_PER_SECOND;
        double home = leak + HOME_PER_SECOND * Math.min(near, far);
        double drive = WAIT_GAIN_PER_SECOND * waits.drive(share, now);
        double step = GAIN_PER_SECOND * (near - far) + drive - home * share;
        share = Math.max(0, Math.min(MAX, share + step * seconds));
    }
}
