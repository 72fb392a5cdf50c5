package io.beryldock.retry;

import io.beryldock.call.PriorityClass;
import io.beryldock.time.Ticker;
import java.time.Duration;

/**
 * Retry budget that limits the repeats sent by one node to a service to a share of its first attempts in a sliding
 * window.
 *
 * <p>A repeat is a retry, or a call made by a run that is itself a repetition. Invariant: when a retry is granted, the
 * repeats in the window that ends then are at most the share of that window's first attempts plus the floor. Since each
 * node keeps this limit, all nodes together keep it. Repeats that can't be refused count too and leave fewer retries.
 *
 * <p>Guards against a service that refuses half of its calls regardless of load, where one refused call fails a whole
 * tree of calls. Retries spread evenly over all trees would save none of them. A request may therefore use only what
 * requests of more important ranks, at their recent rate, leave of the budget. Thread safe.
 */
public final class WindowRetryBudget implements RetryBudget {

    /** Number of buckets in a window, including the one being filled. */
    private static final int BUCKETS = 20;

    /** One bucket more than the window, because the window covers a part of the oldest bucket. */
    private static final int RING_SIZE = BUCKETS + 1;

    /**
     * Newest buckets from which the request rate is estimated; a tenth of the window, so that a rise counts quickly.
     */
    private static final int RATE_BUCKETS = 2;

    private final Ticker ticker;
    private final Limits limits;
    private final long bucketNanos;
    private final int[] firstTries = new int[RING_SIZE];
    private final int[] repeats = new int[RING_SIZE];
    private final int[][] requested = new int[PriorityClass.RANKS][RING_SIZE];
    private long bucket;

    private WindowRetryBudget(Ticker ticker, Limits limits) {
        this.ticker = ticker;
        this.limits = limits;
        this.bucketNanos = limits.window().toNanos() / BUCKETS;
        this.bucket = Math.floorDiv(ticker.nanos(), bucketNanos);
    }

    /**
     * Limits of a budget. Immutable.
     *
     * @param share repeats allowed as a share of first attempts
     * @param floor repeats allowed in each window in addition to the share
     * @param window length of the sliding window, at least 20 ms
     */
    public record Limits(double share, int floor, Duration window) {

        public Limits {
            if (share < 0 || share > 1 || floor < 0 || window.compareTo(Duration.ofMillis(BUCKETS)) < 0) {
                throw new IllegalArgumentException("share must be 0 to 1, floor at least 0 and window at least 20 ms");
            }
        }
    }

    public static WindowRetryBudget create(Ticker ticker, Limits limits) {
        return new WindowRetryBudget(ticker, limits);
    }

    @Override
    public synchronized void onFirstTry() {
        advance();
        firstTries[ringIndex(bucket)]++;
    }

    @Override
    public synchronized void onRepeat() {
        advance();
        repeats[ringIndex(bucket)]++;
    }

    @Override
    public synchronized boolean tryRetry(int rank) {
        advance();
        requested[rank][ringIndex(bucket)]++;
        if (used() + 1 > allowed() - reservedForHigherRanks(rank)) {
            return false;
        }
        repeats[ringIndex(bucket)]++;
        return true;
    }

    @Override
    public synchronized void refund() {
        advance();
        repeats[ringIndex(bucket)]--;
    }

    @Override
    public synchronized int available() {
        advance();
        return (int) Math.max(0, allowed() - used());
    }

    /** Retries that requests of more important ranks will ask for in a window at their recent rate. */
    private int reservedForHigherRanks(int rank) {
        int requests = 0;
        for (int i = 0; i < rank; i++) {
            requests += sum(requested[i], RATE_BUCKETS);
        }
        return requests * BUCKETS / RATE_BUCKETS;
    }

    private double allowed() {
        return limits.share() * sum(firstTries, BUCKETS) + limits.floor();
    }

    private int used() {
        return sum(repeats, RING_SIZE);
    }

    private int sum(int[] counts, int buckets) {
        int sum = 0;
        for (int i = 0; i < buckets; i++) {
            sum += counts[ringIndex(bucket - i)];
        }
        return sum;
    }

    private void advance() {
        long current = Math.floorDiv(ticker.nanos(), bucketNanos);
        long from = Math.max(bucket + 1, current - RING_SIZE + 1);
        for (long i = from; i <= current; i++) {
            firstTries[ringIndex(i)] = 0;
            repeats[ringIndex(i)] = 0;
            for (int[] counts : requested) {
                counts[ringIndex(i)] = 0;
            }
        }
        bucket = Math.max(bucket, current);
    }

    private static int ringIndex(long number) {
        return (int) Math.floorMod(number, (long) RING_SIZE);
    }
}
