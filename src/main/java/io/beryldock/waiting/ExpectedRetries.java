package io.beryldock.waiting;

import io.beryldock.call.PriorityClass;
import io.beryldock.credit.Claimant;
import io.beryldock.credit.TreeKey;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Retries that are expected from refused callers, with the times at which they were told to retry.
 *
 * <p>A retry is recognised by the absolute deadline of its request, which does not change on a refusal. A caller that
 * retries too early is told the rest of its delay: if it were treated as new, callers that retry immediately and often
 * would take the places of waiting ones. Expected retries count as waiting requests when another caller is told a time,
 * so that this caller is scheduled behind them. Memory is bounded: the retries that are due first are dropped. Guarded
 * by the lock of the entry.
 */
final class ExpectedRetries {

    /**
     * Maximum number of expected retries that are kept; a retry whose record was dropped is accepted as being on time.
     */
    private static final int MAX_EXPECTED_RETRIES = 4_096;

    /**
     * Tolerance when deadlines are compared, as callers state their time in milliseconds and the delay on the way to
     * the entry node varies.
     */
    private static final long DEADLINE_TOLERANCE_NANOS = Duration.ofMillis(15).toNanos();

    /** Tolerance for early retries, as the clocks of callers may run slightly fast. */
    private static final long EARLY_TOLERANCE_NANOS = Duration.ofMillis(20).toNanos();

    /** Time after the due time when an expected retry is dropped, as its caller has probably left. */
    private static final long EXPIRY_NANOS = Duration.ofMillis(300).toNanos();

    private final TreeSet<ExpectedRetry> byDeadline = new TreeSet<>(ExpectedRetry.BY_DEADLINE);
    private final TreeSet<ExpectedRetry> byDue = new TreeSet<>(ExpectedRetry.BY_DUE);
    private final int[] inTime = new int[PriorityClass.RANKS];
    private final int[] late = new int[PriorityClass.RANKS];
    private long order;

    /**
     * An expected retry.
     *
     * @param deadline deadline of the request
     * @param dueAt time at which the caller was told to retry
     * @param meetsObjective whether the request can still meet its objective at that time, so that it goes before new
     *     requests of its rank
     */
    private record ExpectedRetry(
            TreeKey tree, Claimant claimant, long deadline, long dueAt, boolean meetsObjective, long order) {

        static final Comparator<ExpectedRetry> BY_DEADLINE = (a, b) -> compare(a.deadline, b.deadline, a, b);
        static final Comparator<ExpectedRetry> BY_DUE = (a, b) -> compare(a.dueAt, b.dueAt, a, b);

        private static int compare(long timeA, long timeB, ExpectedRetry a, ExpectedRetry b) {
            int byTime = Long.signum(timeA - timeB);
            return byTime != 0 ? byTime : Long.compare(a.order, b.order);
        }

        long earlyNanos(long now) {
            long early = dueAt - now;
            return early <= EARLY_TOLERANCE_NANOS ? 0 : early;
        }

        boolean isOf(WaitingRequest request) {
            return claimant.equals(request.claimant()) && tree.equals(request.tree());
        }
    }

    /** Records that the caller of a refused request was told a time. */
    void add(WaitingRequest request, long dueAt, boolean meetsObjective, long now) {
        dropExpired(now);
        long deadline = now + request.remainingNanos();
        ExpectedRetry retry =
                new ExpectedRetry(request.tree(), request.claimant(), deadline, dueAt, meetsObjective, order++);
        byDeadline.add(retry);
        byDue.add(retry);
        counts(retry)[retry.claimant().rank()]++;
        if (byDue.size() > MAX_EXPECTED_RETRIES) {
            remove(byDue.first());
        }
    }

    private int[] counts(ExpectedRetry retry) {
        return retry.meetsObjective() ? inTime : late;
    }

    /**
     * Returns how much too early a request is retried. If the result is 0, the request is on time and its expected
     * retry is removed.
     *
     * <p>A retry without a record counts as on time, because another entry node may have told the caller the time. If
     * several records match, one that is due is preferred, so that a caller that retries on time is not rejected.
     */
    long claim(WaitingRequest request, long now) {
        dropExpired(now);
        Optional<ExpectedRetry> match = find(request, now);
        long early = match.map(retry -> retry.earlyNanos(now)).orElse(0L);
        if (early == 0) {
            match.ifPresent(this::remove);
        }
        return early;
    }

    /** Returns the number of expected retries of this rank and more important ones that go before new requests. */
    int aheadOfNew(int rank, long now) {
        dropExpired(now);
        return sum(inTime, rank);
    }

    /** Returns the number of all expected retries of this rank and more important ones. */
    int all(int rank, long now) {
        dropExpired(now);
        return sum(inTime, rank) + sum(late, rank);
    }

    private static int sum(int[] countsByRank, int last) {
        int sum = 0;
        for (int i = 0; i <= last; i++) {
            sum += countsByRank[i];
        }
        return sum;
    }

    private Optional<ExpectedRetry> find(WaitingRequest request, long now) {
        long deadline = now + request.remainingNanos();
        ExpectedRetry from = bound(request, deadline - DEADLINE_TOLERANCE_NANOS);
        ExpectedRetry to = bound(request, deadline + DEADLINE_TOLERANCE_NANOS);
        return byDeadline.subSet(from, to).stream()
                .filter(retry -> retry.isOf(request))
                .min(Comparator.comparingLong(retry -> retry.earlyNanos(now)));
    }

    private static ExpectedRetry bound(WaitingRequest request, long deadline) {
        return new ExpectedRetry(request.tree(), request.claimant(), deadline, 0, false, -1);
    }

    private void dropExpired(long now) {
        while (!byDue.isEmpty() && now - byDue.first().dueAt() > EXPIRY_NANOS) {
            remove(byDue.first());
        }
    }

    private void remove(ExpectedRetry retry) {
        byDue.remove(retry);
        byDeadline.remove(retry);
        counts(retry)[retry.claimant().rank()]--;
    }
}
