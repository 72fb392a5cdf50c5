package io.beryldock.admission;

/**
 * Strategies for the concurrency limit.
 *
 * <p>All strategies except the fixed one raise the limit only while it delays requests. The caller applies the bounds,
 * so that the announced slots bound the result of each strategy. Stateless and thread safe.
 */
public final class LimitStrategies {

    private static final double AIMD_BACKOFF = 0.9;
    private static final double AIMD_TOLERATED_LOSS = 0.02;
    private static final double GRADIENT_TOLERANCE = 1.5;
    private static final double GRADIENT_MIN = 0.5;
    private static final double GRADIENT_SMOOTHING = 0.2;
    private static final double VEGAS_LOW = 3;
    private static final double VEGAS_HIGH = 6;

    private LimitStrategies() {}

    /** Returns a strategy with a constant limit. */
    public static LimitStrategy fixed(int limit) {
        return window -> limit;
    }

    /**
     * Returns the default strategy: it keeps the limit at the announced slots until the target refuses requests. For
     * targets without announced slots it is the same as {@link #vegas}.
     *
     * <p>The service times of a slow target look like those of a target with an internal queue. When the slots are
     * known, the limit need not fall for this reason, and a slow target keeps all its slots busy. See
     * docs/DECISIONS/0004.
     */
    public static LimitStrategy standard() {
        LimitStrategy unannounced = vegas();
        return window -> window.announced() ? backOff(window, window.refused()) : unannounced.next(window);
    }

    /**
     * Returns a strategy that adds 1 after a window that used the limit up, and subtracts a tenth after refusals or
     * late answers.
     */
    public static LimitStrategy aimd() {
        return window -> backOff(window, window.refused() + window.late());
    }

    /**
     * Returns a strategy that lowers the limit by the ratio of the long-term mean service time to the current one, and
     * raises it by the square root of the limit.
     */
    public static LimitStrategy gradient() {
        return window -> {
            if (window.meanNanos() == 0) {
                return window.limit() * AIMD_BACKOFF;
            }
            double ratio = GRADIENT_TOLERANCE * window.longNanos() / window.meanNanos();
            double gradient = Math.max(GRADIENT_MIN, Math.min(1, ratio));
            double next = window.limit() * gradient + raised(window, Math.sqrt(window.limit())) - window.limit();
            return window.limit() + GRADIENT_SMOOTHING * (next - window.limit());
        };
    }

    /**
     * Returns a strategy that keeps the queue inside the target, estimated from the shortest service time, between two
     * bounds.
     */
    public static LimitStrategy vegas() {
        return window -> {
            if (window.meanNanos() == 0) {
                return window.limit() * AIMD_BACKOFF;
            }
            double scale = Math.max(1, Math.log10(window.limit()));
            double queued = window.limit() * (1 - window.minNanos() / window.meanNanos());
            if (queued > VEGAS_HIGH * scale) {
                return window.limit() - scale;
            }
            return queued < VEGAS_LOW * scale ? raised(window, scale) : window.limit();
        };
    }

    private static double backOff(LimitWindow window, int lost) {
        boolean overloaded = lost > AIMD_TOLERATED_LOSS * (window.completed() + window.refused());
        return overloaded ? window.limit() * AIMD_BACKOFF : raised(window, 1);
    }

    private static double raised(LimitWindow window, double by) {
        return window.limitReached() ? window.limit() + by : window.limit();
    }
}
