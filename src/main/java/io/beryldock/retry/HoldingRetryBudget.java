package io.beryldock.retry;

import io.beryldock.call.PriorityClass;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Arrays;

/**
 * Retry budget of a sender whose repeats are limited where they arrive: grants all retries but those that would
 * probably be refused there.
 *
 * <p>After a repeat was refused, retries of its rank and of less important ones are held back for {@link #HOLD}. Guards
 * against calls that cross the network only to be refused. The bound does not depend on it. Thread safe.
 */
final class HoldingRetryBudget implements RetryBudget {

    /** Short against the window, so that room which first arrivals make is found soon. */
    static final Duration HOLD = Duration.ofMillis(100);

    private final Ticker ticker;
    private final long[] heldUntil = new long[PriorityClass.RANKS];

    HoldingRetryBudget(Ticker ticker) {
        this.ticker = ticker;
        Arrays.fill(heldUntil, ticker.nanos());
    }

    @Override
    public void onFirstTry() {}

    @Override
    public synchronized void onRefused(int rank) {
        heldUntil[rank] = ticker.nanos() + HOLD.toNanos();
    }

    @Override
    public synchronized boolean tryRetry(int rank) {
        long now = ticker.nanos();
        for (int i = 0; i <= rank; i++) {
            if (now - heldUntil[i] < 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void refund() {}

    @Override
    public int available() {
        return tryRetry(0) ? Integer.MAX_VALUE : 0;
    }
}
