package io.beryldock.retry;

import io.beryldock.call.PriorityClass;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Optional;

/**
 * Limits the repeats that one node sends to the target in its VM to a share of the first arrivals there.
 *
 * <p>Invariant: the repeats in any window are at most the share of a weighted mean of the first arrivals in that
 * window, in the one before it and in the one half a window before it. Each term is a sum over nodes, and a mean with
 * the same weights at all nodes is at most the largest of the three, so all nodes together stay within the share of the
 * first arrivals in one of these windows. The bound needs no number of nodes, no agreement and no memory of an earlier
 * process: the repeats of each process are covered by its own first arrivals, and a process that knows nothing sends no
 * repeats.
 *
 * <p>Guards against a service that refuses half of its calls regardless of load, where one refused call fails a whole
 * tree of calls: repeats spread evenly over all trees would save none of them. A repeat of a lower order uses only what
 * repeats of higher orders, at their recent rate, leave. Thread safe.
 */
public final class ArrivalBudget {

    /** Buckets of a window, including the one being filled; even, so that half a window has whole buckets. */
    private static final int BUCKETS = 40;

    private static final int HALF = BUCKETS / 2;

    /** Shortest window, with buckets of a millisecond. */
    public static final Duration MIN_WINDOW = Duration.ofMillis(BUCKETS);

    /** Windows that begin up to one window ago are limited, by first arrivals of up to one window earlier. */
    private static final int RING_SIZE = 2 * BUCKETS;

    /** Newest buckets from which the rate of requested repeats is estimated, so that a rise counts quickly. */
    private static final int RATE_BUCKETS = BUCKETS / 10;

    /** Two orders for each rank, see {@link #order}. */
    private static final int ORDERS = 2 * PriorityClass.RANKS;

    /**
     * Weights of the three windows, which add up to 1: most for the window before, whose first arrivals cover a burst
     * of repeats when trouble begins; the rest for windows of which a process has first arrivals soon after its start.
     */
    private static final double WEIGHT_BEFORE = 0.5;

    private static final double WEIGHT_AROUND = 0.2;
    private static final double WEIGHT_WITHIN = 0.3;

    private final Ticker ticker;
    private final double share;
    private final long bucketNanos;
    private final int[] firsts = new int[RING_SIZE];
    private final int[] repeats = new int[RING_SIZE];
    private final int[][] requested = new int[ORDERS][RING_SIZE];
    private long bucket;

    private ArrivalBudget(Ticker ticker, Limits limits) {
        this.ticker = ticker;
        this.share = limits.share();
        this.bucketNanos = limits.window().toNanos() / BUCKETS;
        this.bucket = Math.floorDiv(ticker.nanos(), bucketNanos);
    }

    /**
     * Limits of a budget. Immutable.
     *
     * @param share repeats allowed as a share of first arrivals, 0 to 1
     * @param window length of the sliding window, at least {@link #MIN_WINDOW}
     */
    public record Limits(double share, Duration window) {

        public Limits {
            if (share < 0 || share > 1 || window.compareTo(MIN_WINDOW) < 0) {
                throw new IllegalArgumentException("share must be 0 to 1 and window at least " + MIN_WINDOW);
            }
        }
    }

    public static ArrivalBudget create(Ticker ticker, Limits limits) {
        return new ArrivalBudget(ticker, limits);
    }

    /** Records the first arrival of a call; the returned task takes it back if the call did not arrive after all. */
    public synchronized Runnable onFirst() {
        advance();
        return count(firsts);
    }

    private Runnable count(int[] counts) {
        long counted = bucket;
        counts[ringIndex(counted)]++;
        return () -> takeBack(counts, counted);
    }

    private synchronized void takeBack(int[] counts, long counted) {
        advance();
        if (counted > bucket - RING_SIZE) {
            counts[ringIndex(counted)]--;
        }
    }

    /**
     * Records that a repeat is requested; returns whether it would be admitted now.
     *
     * @param rank priority rank of the request, 0 is the most important
     * @param inherited whether the call is made by a repeated run, whose work is lost if the call is refused
     */
    public synchronized boolean request(int rank, boolean inherited) {
        advance();
        int order = order(rank, inherited);
        requested[order][ringIndex(bucket)]++;
        return isAvailable(order);
    }

    /**
     * Takes one repeat, which was requested before, from the budget; empty when none is available to it.
     *
     * @return a task that gives the repeat back if it did not arrive after all
     */
    public synchronized Optional<Runnable> take(int rank, boolean inherited) {
        advance();
        return isAvailable(order(rank, inherited)) ? Optional.of(count(repeats)) : Optional.empty();
    }

    private boolean isAvailable(int order) {
        Sums sums = new Sums();
        return sums.least() >= 1 && sums.left(bucket - BUCKETS) - reservedForHigherOrders(order) >= 1;
    }

    /** Returns the number of repeats that requests of the highest order could make now. */
    public synchronized int room() {
        advance();
        return (int) Math.max(0, new Sums().least());
    }

    /** Returns the order of a repeat, 0 the highest: ranks in turn, calls of repeated runs first within each. */
    private static int order(int rank, boolean inherited) {
        return 2 * rank + (inherited ? 0 : 1);
    }

    /** Returns the repeats that higher orders will request in a window at their recent rate. */
    private int reservedForHigherOrders(int order) {
        int requests = 0;
        for (int i = 0; i < order; i++) {
            requests += sum(requested[i], bucket - RATE_BUCKETS + 1, bucket);
        }
        return requests * (BUCKETS / RATE_BUCKETS);
    }

    private static int sum(int[] counts, long from, long to) {
        int sum = 0;
        for (long i = from; i <= to; i++) {
            sum += counts[ringIndex(i)];
        }
        return sum;
    }

    private void advance() {
        long current = Math.floorDiv(ticker.nanos(), bucketNanos);
        long from = Math.max(bucket + 1, current - RING_SIZE + 1);
        for (long i = from; i <= current; i++) {
            firsts[ringIndex(i)] = 0;
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

    /** Sums of the counts up to each bucket of the ring, so that a sum over any of them is one subtraction. */
    private final class Sums {
        private final long oldest = bucket - RING_SIZE + 1;
        private final int[] firstsUntil = new int[RING_SIZE + 1];
        private final int[] repeatsUntil = new int[RING_SIZE + 1];

        Sums() {
            for (int i = 0; i < RING_SIZE; i++) {
                int index = ringIndex(oldest + i);
                firstsUntil[i + 1] = firstsUntil[i] + firsts[index];
                repeatsUntil[i + 1] = repeatsUntil[i] + repeats[index];
            }
        }

        /** Returns the least that is left to any window that has begun and not ended. */
        double least() {
            double least = Double.MAX_VALUE;
            for (long begin = bucket - BUCKETS; begin <= bucket; begin++) {
                least = Math.min(least, left(begin));
            }
            return least;
        }

        /**
         * Returns what is left to a window that begins within the bucket.
         *
         * <p>Counts only first arrivals that lie within a window wherever in the bucket it begins, and all repeats
         * since the bucket began.
         */
        double left(long begin) {
            int before = between(firstsUntil, begin - BUCKETS + 1, begin - 1);
            int around = between(firstsUntil, begin - HALF + 1, Math.min(bucket, begin + HALF - 1));
            // First arrivals of the bucket itself lie before or within the window; the lesser weight counts for them.
            int within = between(firstsUntil, begin, bucket);
            double mean = WEIGHT_BEFORE * before + WEIGHT_AROUND * around + WEIGHT_WITHIN * within;
            return share * mean - between(repeatsUntil, begin, bucket);
        }

        private int between(int[] until, long from, long to) {
            return until[(int) (to + 1 - oldest)] - until[(int) (from - oldest)];
        }
    }
}
