package io.beryldock.retry;

import io.beryldock.call.PriorityClass;
import io.beryldock.time.Ticker;
import java.time.Duration;

/**
 * Limits the repeats that one node sends to a service to a share of its first tries, counted over sliding windows.
 *
 * <p>A repeat is a retry, or a call of a run that itself repeats one. Invariant: when a retry is granted, the repeats
 * of the window that ends then are at most the share of that window's first tries and the floor. As each node keeps it
 * for itself, all nodes together do. Repeats that can't be refused count too and leave less to retry.
 *
 * <p>Guards against a service that turns away half of its calls, whatever their number: a tree of many calls is lost
 * with one of them. Retries that are spread evenly over all trees save none, so a request may use only what more
 * important ones, at the rate at which they ask of late, leave of the budget. Thread safe.
 */
public final class WindowRetryBudget implements RetryBudget {

    /** Buckets of a window, the one that is being filled among them. */
    private static final int BUCKETS = 20;

    /** One more than a window has: the oldest lies in it with a part. */
    private static final int SLOTS = BUCKETS + 1;

    /** Newest buckets by which the rate of asking is told, a tenth of the window: a rise must count at once. */
    private static final int RECENT = 2;

    private final Ticker ticker;
    private final Terms terms;
    private final long bucketNanos;
    private final int[] firstTries = new int[SLOTS];
    private final int[] repeats = new int[SLOTS];
    private final int[][] asked = new int[PriorityClass.RANKS][SLOTS];
    private long bucket;

    private WindowRetryBudget(Ticker ticker, Terms terms) {
        this.ticker = ticker;
        this.terms = terms;
        this.bucketNanos = terms.window().toNanos() / BUCKETS;
        this.bucket = Math.floorDiv(ticker.nanos(), bucketNanos);
    }

    /**
     * Terms of a budget. Immutable.
     *
     * @param share repeats allowed as a share of first tries
     * @param floor repeats allowed beside the share, a window
     */
    public record Terms(double share, int floor, Duration window) {

        public Terms {
            if (share < 0 || share > 1 || floor < 0 || window.compareTo(Duration.ofMillis(BUCKETS)) < 0) {
                throw new IllegalArgumentException("share 0 to 1, floor 0 or more, window 20 ms or more are needed");
            }
        }
    }

    public static WindowRetryBudget create(Ticker ticker, Terms terms) {
        return new WindowRetryBudget(ticker, terms);
    }

    @Override
    public synchronized void onFirstTry() {
        advance();
        firstTries[slot(bucket)]++;
    }

    @Override
    public synchronized void onRepeat() {
        advance();
        repeats[slot(bucket)]++;
    }

    @Override
    public synchronized boolean tryRetry(int rank) {
        advance();
        asked[rank][slot(bucket)]++;
        if (used() + 1 > allowed() - reservedBefore(rank)) {
            return false;
        }
        repeats[slot(bucket)]++;
        return true;
    }

    @Override
    public synchronized void putBack() {
        advance();
        repeats[slot(bucket)]--;
    }

    @Override
    public synchronized int available() {
        advance();
        return (int) Math.max(0, allowed() - used());
    }

    /** What requests of more important ranks would ask for in a window. */
    private int reservedBefore(int rank) {
        int recent = 0;
        for (int i = 0; i < rank; i++) {
            recent += sum(asked[i], RECENT);
        }
        return recent * BUCKETS / RECENT;
    }

    private double allowed() {
        return terms.share() * sum(firstTries, BUCKETS) + terms.floor();
    }

    private int used() {
        return sum(repeats, SLOTS);
    }

    private int sum(int[] counts, int buckets) {
        int sum = 0;
        for (int i = 0; i < buckets; i++) {
            sum += counts[slot(bucket - i)];
        }
        return sum;
    }

    private void advance() {
        long current = Math.floorDiv(ticker.nanos(), bucketNanos);
        long from = Math.max(bucket + 1, current - SLOTS + 1);
        for (long i = from; i <= current; i++) {
            firstTries[slot(i)] = 0;
            repeats[slot(i)] = 0;
            for (int[] ofRank : asked) {
                ofRank[slot(i)] = 0;
            }
        }
        bucket = Math.max(bucket, current);
    }

    private static int slot(long number) {
        return (int) Math.floorMod(number, (long) SLOTS);
    }
}
