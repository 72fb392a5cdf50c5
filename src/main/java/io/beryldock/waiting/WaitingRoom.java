package io.beryldock.waiting;

import com.google.common.collect.ImmutableMap;
import io.beryldock.credit.TreeCredits;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSampler;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Which requests of callers start, wait or are refused while whole trees need credits: a pure function of its state,
 * the event and the time.
 *
 * <p>Answers the load at which callers ask an entry for more trees than services beneath it can finish, for seconds or
 * for good. Invariants: each request is decided once; one that can't meet its objective starts on credits that nobody
 * of its rank wants who can; none is offered credits before another one of its tree and claimant that is ahead of it; a
 * refused request has not run. Guarded by the lock of the entry.
 */
final class WaitingRoom {

    /** Part of a caller's time that it may wait: what is left then suffices to ask another entry. */
    private static final double WAIT_SHARE = 0.5;

    /** Trees scatter around their usual time; half of it more covers most. */
    private static final double TIME_NEEDED = 1.5;

    /** How soon it shows that a tree needs no credits any more, when nothing else happens. */
    private static final long REVIEW_NANOS = Duration.ofMillis(50).toNanos();

    private final WaitingPorts ports;
    private final TreeCredits credits;
    private final WaitingQueue queue = new WaitingQueue();
    private final ReturnPromises promises = new ReturnPromises();
    private final RecentService served;
    private final Comparator<WaitingLine> order;
    private final EventSampler refusals;
    private final Map<RefusalCause, Long> refused = new EnumMap<>(RefusalCause.class);
    private long covered;
    private long arrivals;
    private boolean stopped;

    WaitingRoom(WaitingPorts ports, WaitingOrder order, long now) {
        this.ports = ports;
        this.credits = ports.credits();
        this.served = new RecentService(now);
        this.order = order.comparing(line -> served.nanos(line.claimant().organisation()));
        this.refusals = new EventSampler(ports.events(), EventKind.SHED_AT_DOOR);
    }

    /** Decides over a request whose tree needs credits, or lets it wait. */
    Waiter arrive(WaitingRequest request, Consumer<Waiter> leaver, long now, List<Waiter> out) {
        served.advance(now);
        long early = request.returned() ? promises.redeem(request, now) : 0;
        Lane lane = lane(request, early);
        Waiter waiter = new Waiter(request, lane, now, maxWaitNanos(request, lane), arrivals++, leaver);
        if (stopped) {
            refuse(waiter, RefusalCause.STOPPING, 0, now, out);
        } else if (early > 0) {
            decideOverEarly(waiter, early, now, out);
        } else {
            startOrWait(waiter, now, out);
        }
        return waiter;
    }

    private void decideOverEarly(Waiter waiter, long early, long now, List<Waiter> out) {
        if (queue.isEmpty() && take(waiter.request())) {
            cover(waiter, now, out);
        } else {
            refuse(waiter, RefusalCause.TOO_EARLY, Duration.ofNanos(early).toMillis(), now, out);
        }
    }

    private void startOrWait(Waiter waiter, long now, List<Waiter> out) {
        WaitingRequest request = waiter.request();
        if (!queue.waitsFor(WaitingLine.Key.of(waiter)) && take(request)) {
            cover(waiter, now, out);
        } else if (!waiter.canWait() || expectedNanos(waiter, now) > waiter.expiresAt() - now) {
            refuse(waiter, RefusalCause.NO_ROOM_IN_TIME, now, out);
        } else if (request.bytes() > ports.settings().maxBytes()) {
            refuse(waiter, RefusalCause.OVERFLOW, now, out);
        } else {
            queue.add(waiter);
            cutToBounds(now, out);
        }
    }

    /** Its place is free for others; without effect when it was decided over. */
    void leave(Waiter waiter, List<Waiter> out) {
        if (queue.remove(waiter)) {
            decide(waiter, EntryDecision.gone(), out);
        }
    }

    /** Refuses those who can wait no longer, lets go those who need no credits, and offers credits to the others. */
    void review(long now, List<Waiter> out) {
        served.advance(now);
        expire(now, out);
        List<WaitingLine> open = queue.lines();
        open.removeIf(line -> releaseUngoverned(line, out));
        while (!open.isEmpty()) {
            WaitingLine next = open.stream().min(order).orElseThrow();
            offer(next, open, now, out);
        }
    }

    /** Refuses all that wait and all that come later. */
    void stop(long now, List<Waiter> out) {
        stopped = true;
        for (Waiter waiter : queue.all()) {
            queue.remove(waiter);
            refuse(waiter, RefusalCause.STOPPING, 0, now, out);
        }
    }

    /** When to review next; empty while none waits. */
    Optional<Duration> nextReview(long now) {
        if (queue.isEmpty()) {
            return Optional.empty();
        }
        long nanos = Math.min(REVIEW_NANOS, queue.firstToExpire().expiresAt() - now);
        return Optional.of(Duration.ofNanos(Math.max(0, nanos)));
    }

    WaitingSnapshot snapshot(long now) {
        served.advance(now);
        return new WaitingSnapshot(
                queue.byRank(),
                queue.bytes(),
                queue.longestWaitNanos(now),
                covered,
                ImmutableMap.copyOf(refused),
                served.top());
    }

    private void offer(WaitingLine line, List<WaitingLine> open, long now, List<Waiter> out) {
        Waiter first = line.first();
        if (!take(first.request())) {
            open.removeIf(other -> other.key().sharesCredits(line.key()));
            return;
        }
        queue.remove(first);
        cover(first, now, out);
        if (line.isEmpty()) {
            open.remove(line);
        }
    }

    private boolean releaseUngoverned(WaitingLine line, List<Waiter> out) {
        if (credits.governs(line.tree())) {
            return false;
        }
        while (!line.isEmpty()) {
            Waiter first = line.first();
            queue.remove(first);
            decide(first, EntryDecision.notGoverned(), out);
        }
        return true;
    }

    private void expire(long now, List<Waiter> out) {
        while (!queue.isEmpty() && queue.firstToExpire().expiresAt() - now <= 0) {
            Waiter expired = queue.firstToExpire();
            queue.remove(expired);
            refuse(expired, RefusalCause.WAITED_IN_VAIN, now, out);
        }
    }

    private void cutToBounds(long now, List<Waiter> out) {
        WaitingSettings bounds = ports.settings();
        while (queue.size() > bounds.maxRequests() || queue.bytes() > bounds.maxBytes()) {
            Waiter least = queue.leastImportant();
            queue.remove(least);
            refuse(least, RefusalCause.OVERFLOW, now, out);
        }
    }

    private boolean take(WaitingRequest request) {
        return credits.take(request.tree(), request.claimant());
    }

    private void cover(Waiter waiter, long now, List<Waiter> out) {
        covered++;
        WaitingRequest request = waiter.request();
        served.add(request.claimant().organisation(), ports.slotNanos().applyAsLong(request.tree()), now);
        decide(waiter, EntryDecision.covered(), out);
    }

    private void refuse(Waiter waiter, RefusalCause cause, long now, List<Waiter> out) {
        refuse(waiter, cause, promiseReturn(waiter, now), now, out);
    }

    private void refuse(Waiter waiter, RefusalCause cause, long retryAfterMillis, long now, List<Waiter> out) {
        refused.merge(cause, 1L, Long::sum);
        recordRefusal(waiter, cause, retryAfterMillis, now);
        decide(waiter, EntryDecision.refused(retryAfterMillis), out);
    }

    private long promiseReturn(Waiter waiter, long now) {
        WaitingRequest request = waiter.requestAt(now);
        long millis = ReturnTime.millis(
                expectedReturnNanos(waiter, now), request.remainingNanos() - neededNanos(request), ports.random());
        long nanos = Duration.ofMillis(millis).toNanos();
        boolean meetsObjective = nanos < request.objectiveNanos() - neededNanos(request);
        promises.add(request, now + nanos, meetsObjective, now);
        return millis;
    }

    private void recordRefusal(Waiter waiter, RefusalCause cause, long retryAfterMillis, long now) {
        if (refusals.take(now)) {
            String detail = "rank " + waiter.rank() + ": " + cause.message() + "; told to return in " + retryAfterMillis
                    + " ms";
            refusals.record(Optional.empty(), waiter.request().tree().service().value(), detail);
        }
    }

    private static void decide(Waiter waiter, EntryDecision decision, List<Waiter> out) {
        waiter.decide(decision);
        out.add(waiter);
    }

    /** Until credits come to a request that waits here. */
    private long expectedNanos(Waiter waiter, long now) {
        int rank = waiter.rank();
        int returning = waiter.lane() == Lane.RETURNED ? 0 : promises.aheadOfNew(rank, now);
        return expectedNanos(waiter.request(), queue.ahead(rank, waiter.lane()) + returning);
    }

    /** Until credits come to a request whose caller comes back, behind all that were told so before. */
    private long expectedReturnNanos(Waiter waiter, long now) {
        int rank = waiter.rank();
        return expectedNanos(waiter.request(), queue.ahead(rank, Lane.LATE) + promises.all(rank, now));
    }

    private long expectedNanos(WaitingRequest request, int ahead) {
        return credits.expectedWaitNanos(request.tree(), request.claimant(), ahead);
    }

    private Lane lane(WaitingRequest request, long early) {
        if (request.objectiveNanos() <= neededNanos(request)) {
            return Lane.LATE;
        }
        return request.returned() && early == 0 ? Lane.RETURNED : Lane.NEW;
    }

    private long maxWaitNanos(WaitingRequest request, Lane lane) {
        long end = lane == Lane.LATE ? request.remainingNanos() : request.objectiveNanos();
        return Math.min(end - neededNanos(request), (long) (WAIT_SHARE * request.remainingNanos()));
    }

    private long neededNanos(WaitingRequest request) {
        return (long) (TIME_NEEDED * credits.usualNanos(request.tree()));
    }
}
