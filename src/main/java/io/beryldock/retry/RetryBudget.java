package io.beryldock.retry;

import io.beryldock.time.Ticker;

/**
 * Limits the retries from one caller service to one callee service to a share of the first tries.
 *
 * <p>Guards against an outage that turns into load: when every call fails, retries would double or triple the traffic
 * just when there is too much of it. Invariant: up to any moment, retries are at most share * first tries + floor *
 * seconds + burst. Thread safe.
 */
public final class RetryBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private final RetryBudgetSettings settings;
    private double shareTokens;
    private double floorTokens;
    private long updated;

    private RetryBudget(Ticker ticker, RetryBudgetSettings settings) {
        this.ticker = ticker;
        this.settings = settings;
        this.floorTokens = settings.floorBurst();
        this.updated = ticker.nanos();
    }

    public static RetryBudget create(Ticker ticker, RetryBudgetSettings settings) {
        return new RetryBudget(ticker, settings);
    }

    /** Notes a first try. */
    public synchronized void onFirstTry() {
        advance();
        shareTokens += settings.share();
    }

    /** Takes one retry out of the budget; false when there is none. */
    public synchronized boolean tryRetry() {
        advance();
        if (shareTokens >= 1) {
            shareTokens -= 1;
            return true;
        }
        if (floorTokens >= 1) {
            floorTokens -= 1;
            return true;
        }
        return false;
    }

    /** Puts back a retry that was taken and then not made. */
    public synchronized void putBack() {
        shareTokens += 1;
    }

    /** Retries that could be made now. */
    public synchronized int available() {
        advance();
        return (int) shareTokens + (int) floorTokens;
    }

    private void advance() {
        long now = ticker.nanos();
        double seconds = Math.max(0, now - updated) / NANOS_PER_SECOND;
        updated = now;
        shareTokens *= Math.exp(-seconds * NANOS_PER_SECOND / settings.window().toNanos());
        floorTokens = Math.min(settings.floorBurst(), floorTokens + seconds * settings.floorPerSecond());
    }
}
