package io.beryldock.admission;

/** The known ways to find a concurrency limit. Stateless, thread safe. */
public final class LimitStrategies {

    private static final double AIMD_BACKOFF = 0.9;

    private LimitStrategies() {}

    /** Always the same limit. */
    public static LimitStrategy fixed(int limit) {
        return window -> limit;
    }

    /** One more after a window that used the limit up, a tenth less after refusals or lost requests. */
    public static LimitStrategy aimd() {
        return window -> {
            if (window.refused() + window.lost() > 0) {
                return window.limit() * AIMD_BACKOFF;
            }
            return window.limited() ? window.limit() + 1 : window.limit();
        };
    }
}
