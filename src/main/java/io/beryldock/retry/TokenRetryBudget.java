package io.beryldock.retry;

import io.beryldock.time.Ticker;

/**
 * Retry budget as a token bucket to which each first attempt adds a fraction of a token.
 *
 * <p>Guards against retries that double or triple the traffic during an outage, when every call fails. Invariant: at
 * any time, the retries made so far are at most share * first attempts + floor * seconds + burst. Thread safe.
 */
public final class TokenRetryBudget implements RetryBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private final RetryBudgetSettings settings;
    private double shareTokens;
    private double floorTokens;
    private long updated;

    private TokenRetryBudget(Ticker ticker, RetryBudgetSettings settings) {
        this.ticker = ticker;
        this.settings = settings;
        this.floorTokens = settings.floorBurst();
        this.updated = ticker.nanos();
    }

    public static TokenRetryBudget create(Ticker ticker, RetryBudgetSettings settings) {
        return new TokenRetryBudget(ticker, settings);
    }

    @Override
    public synchronized void onFirstTry() {
        advance();
        shareTokens += settings.share();
    }

    @Override
    public synchronized boolean tryRetry(int rank) {
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

    @Override
    public synchronized void refund() {
        shareTokens += 1;
    }

    @Override
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
