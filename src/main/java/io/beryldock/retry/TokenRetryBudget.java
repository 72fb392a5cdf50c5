package io.beryldock.retry;

import io.beryldock.time.Ticker;

/**
 * Limits retries by tokens: each first try adds a part of one.
 *
 * <p>Guards against an outage that turns into load: when every call fails, retries would double or triple the traffic
 * just when there is too much of it. Invariant: up to any moment, retries are at most share * first tries + floor *
 * seconds + burst. Thread safe.
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

    /** Counts as a first try: the share is small enough that repeats of repeats stay within what is allowed. */
    @Override
    public void onRepeat() {
        onFirstTry();
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
    public synchronized void putBack() {
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
