package io.beryldock.waiting;

import io.beryldock.call.PriorityClass;
import io.beryldock.credit.Claimant;
import io.beryldock.credit.TreeKey;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The times at which refused callers were told to come back.
 *
 * <p>A caller that comes back is known by the end of its time, which a refusal does not move. One that comes earlier
 * than it was told is told the rest of that time: were it treated as new, asking at once and often would take places
 * from those who wait. Callers that were told a time count as waiting when others are told theirs, so that each is
 * told a time behind them. Memory is bounded: the promises that are due first are dropped. Guarded by the lock of the
 * entry.
 */
final class ReturnPromises {

    /** Most promises held; beyond them the returned are believed. */
    private static final int MAX_PROMISES = 4_096;

    /** Callers name their time in milliseconds and their way to the entry varies. */
    private static final long SAME_DEADLINE_NANOS = Duration.ofMillis(15).toNanos();

    /** Clocks of callers may run a little fast. */
    private static final long EARLY_NANOS = Duration.ofMillis(20).toNanos();

    /** A caller that has not come back by then has left. */
    private static final long GRACE_NANOS = Duration.ofMillis(300).toNanos();

    private final TreeSet<Promise> byDeadline = new TreeSet<>(Promise.BY_DEADLINE);
    private final TreeSet<Promise> byDue = new TreeSet<>(Promise.BY_DUE);
    private final int[] inTime = new int[PriorityClass.RANKS];
    private final int[] late = new int[PriorityClass.RANKS];
    private long order;

    /**
     * One promise.
     *
     * @param deadline end of the caller's time
     * @param dueAt when it was told to come back
     * @param meetsObjective whether it will still meet its objective then, and so go before new ones of its rank
     */
    private record Promise(
            TreeKey tree, Claimant claimant, long deadline, long dueAt, boolean meetsObjective, long order) {

        static final Comparator<Promise> BY_DEADLINE = (a, b) -> compare(a.deadline, b.deadline, a, b);
        static final Comparator<Promise> BY_DUE = (a, b) -> compare(a.dueAt, b.dueAt, a, b);

        private static int compare(long timeA, long timeB, Promise a, Promise b) {
            int byTime = Long.signum(timeA - timeB);
            return byTime != 0 ? byTime : Long.compare(a.order, b.order);
        }

        long earlyNanos(long now) {
            long early = dueAt - now;
            return early <= EARLY_NANOS ? 0 : early;
        }

        boolean isOf(WaitingRequest request) {
            return claimant.equals(request.claimant()) && tree.equals(request.tree());
        }
    }

    /** Notes that the caller of a refused request was told a time. */
    void add(WaitingRequest request, long dueAt, boolean meetsObjective, long now) {
        lapse(now);
        long deadline = now + request.remainingNanos();
        Promise made = new Promise(request.tree(), request.claimant(), deadline, dueAt, meetsObjective, order++);
        byDeadline.add(made);
        byDue.add(made);
        counts(made)[made.claimant().rank()]++;
        if (byDue.size() > MAX_PROMISES) {
            remove(byDue.first());
        }
    }

    private int[] counts(Promise promise) {
        return promise.meetsObjective() ? inTime : late;
    }

    /**
     * How much earlier than it was told a request comes that was refused before; 0 when it has kept its place, and its
     * promise is used up.
     *
     * <p>One of which nothing is known is believed: it was told its time by another entry. Of several that it may be,
     * one whose time has come is taken, so that nobody who kept its promise is sent away.
     */
    long redeem(WaitingRequest request, long now) {
        lapse(now);
        Optional<Promise> known = find(request, now);
        long early = known.map(promise -> promise.earlyNanos(now)).orElse(0L);
        if (early == 0) {
            known.ifPresent(this::remove);
        }
        return early;
    }

    /** Callers of this rank and those before it that will come back and go before new ones. */
    int aheadOfNew(int rank, long now) {
        lapse(now);
        return sum(inTime, rank);
    }

    /** All callers of this rank and those before it that will come back. */
    int all(int rank, long now) {
        lapse(now);
        return sum(inTime, rank) + sum(late, rank);
    }

    private static int sum(int[] ofRank, int last) {
        int sum = 0;
        for (int i = 0; i <= last; i++) {
            sum += ofRank[i];
        }
        return sum;
    }

    private Optional<Promise> find(WaitingRequest request, long now) {
        long deadline = now + request.remainingNanos();
        Promise from = bound(request, deadline - SAME_DEADLINE_NANOS);
        Promise to = bound(request, deadline + SAME_DEADLINE_NANOS);
        return byDeadline.subSet(from, to).stream()
                .filter(promise -> promise.isOf(request))
                .min(Comparator.comparingLong(promise -> promise.earlyNanos(now)));
    }

    private static Promise bound(WaitingRequest request, long deadline) {
        return new Promise(request.tree(), request.claimant(), deadline, 0, false, -1);
    }

    private void lapse(long now) {
        while (!byDue.isEmpty() && now - byDue.first().dueAt() > GRACE_NANOS) {
            remove(byDue.first());
        }
    }

    private void remove(Promise promise) {
        byDue.remove(promise);
        byDeadline.remove(promise);
        counts(promise)[promise.claimant().rank()]--;
    }
}
