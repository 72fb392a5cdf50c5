package io.beryldock.admission;

/**
 * The known ways to find a concurrency limit.
 *
 * <p>All but the fixed one raise the limit only while it holds work back. Bounds are applied by the caller, so that the
 * announced slots bound each of them. Stateless, thread safe.
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

    /** Always the same limit. */
    public static LimitStrategy fixed(int limit) {
        return window -> limit;
    }

    /**
     * The default: announced slots are trusted until the target refuses requests, else as {@link #vegas}.
     *
     * <p>Service times of a target that is slow look like those of one with a queue inside; with its slots known the
     * limit need not fall for that, and a slow target keeps all its slots busy. See docs/DECISIONS/0004.
     */
    public static LimitStrategy standard() {
        LimitStrategy unannounced = vegas();
        return window -> window.announced() ? backOff(window, window.refused()) : unannounced.next(window);
    }

    /** One more after a window that used the limit up, a tenth less after refusals or late answers. */
    public static LimitStrategy aimd() {
        return window -> backOff(window, window.refused() + window.late());
    }

    /** Less in the ratio by which the service time exceeds its long average, more by the root of the limit. */
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

    /** Keeps the queue inside the target, estimated from the shortest service time, between two bounds. */
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
        return window.limited() ? window.limit() + by : window.limit();
    }
}
