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
 * Decides which requests of callers start, wait or are refused while whole call trees need credits: a pure function of
 * its state, the event and the time.
 *
 * <p>It handles the load at which callers send an entry node more call trees than the services below can finish, for
 * seconds or permanently. Invariants: each request is decided exactly once; a request that cannot meet its objective
 * starts only on credits that no request of its rank that can meet its objective needs; no request is offered credits
 * before another one of its tree and claimant that precedes it; a refused request has not run. Guarded by the lock of
 * the entry.
 */
final class WaitingRoom {

    /** Share of a caller's remaining time that its request may wait; the rest suffices to try another entry node. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /**
     * Factor on the usual time of a call tree. Times vary around the usual one; half of it in addition covers most of
     * them.
     */
    private static final double NEEDED_TIME_FACTOR = 1.5;

    /**
     * Review interval, which bounds the delay until a tree that no longer needs credits is released when no other event
     * triggers a review.
     */
    private static final long REVIEW_NANOS = Duration.ofMillis(50).toNanos();

    private final WaitingPorts ports;
    private final TreeCredits credits;
    private final WaitingQueue queue = new WaitingQueue();
    private final ExpectedRetries expectedRetries = new ExpectedRetries();
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

    /** Decides on a request whose tree needs credits, or queues it. */
    Waiter arrive(WaitingRequest request, Consumer<Waiter> onCancel, long now, List<Waiter> out) {
        served.advance(now);
        long earlyNanos = request.returned() ? expectedRetries.claim(request, now) : 0;
        Lane lane = lane(request, earlyNanos);
        Waiter waiter = new Waiter(request, lane, now, maxWaitNanos(request, lane), arrivals++, onCancel);
        if (stopped) {
            refuse(waiter, RefusalCause.STOPPING, 0, now, out);
        } else if (earlyNanos > 0) {
            decideEarlyRetry(waiter, earlyNanos, now, out);
        } else {
            startOrWait(waiter, now, out);
        }
        return waiter;
    }

    private void decideEarlyRetry(Waiter waiter, long earlyNanos, long now, List<Waiter> out) {
        if (queue.isEmpty() && take(waiter.request())) {
            cover(waiter, now, out);
        } else {
            refuse(waiter, RefusalCause.TOO_EARLY, Duration.ofNanos(earlyNanos).toMillis(), now, out);
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
            enforceBounds(now, out);
        }
    }

    /** Removes a request whose caller has left; without effect when it is decided already. */
    void cancel(Waiter waiter, List<Waiter> out) {
        if (queue.remove(waiter)) {
            decide(waiter, EntryDecision.gone(), out);
        }
    }

    /**
     * Refuses requests that can wait no longer, releases those that need no credits, and offers credits to the others.
     */
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

    /** Refuses all waiting requests and all later ones. */
    void stop(long now, List<Waiter> out) {
        stopped = true;
        for (Waiter waiter : queue.all()) {
            queue.remove(waiter);
            refuse(waiter, RefusalCause.STOPPING, 0, now, out);
        }
    }

    /** Returns the delay until the next review; empty while no request waits. */
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
        if (credits.requiresCredits(line.tree())) {
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

    private void enforceBounds(long now, List<Waiter> out) {
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
        refuse(waiter, cause, scheduleRetry(waiter, now), now, out);
    }

    private void refuse(Waiter waiter, RefusalCause cause, long retryAfterMillis, long now, List<Waiter> out) {
        refused.merge(cause, 1L, Long::sum);
        recordRefusal(waiter, cause, retryAfterMillis, now);
        decide(waiter, EntryDecision.refused(retryAfterMillis), out);
    }

    private long scheduleRetry(Waiter waiter, long now) {
        WaitingRequest request = waiter.requestAt(now);
        long millis = RetryDelay.millis(
                expectedRetryNanos(waiter, now), request.remainingNanos() - neededNanos(request), ports.random());
        long nanos = Duration.ofMillis(millis).toNanos();
        boolean meetsObjective = nanos < request.objectiveNanos() - neededNanos(request);
        expectedRetries.add(request, now + nanos, meetsObjective, now);
        return millis;
    }

    private void recordRefusal(Waiter waiter, RefusalCause cause, long retryAfterMillis, long now) {
        if (refusals.shouldRecord(now)) {
            String detail = "rank " + waiter.rank() + ": " + cause.message() + "; told to return in " + retryAfterMillis
                    + " ms";
            refusals.record(Optional.empty(), waiter.request().tree().service().value(), detail);
        }
    }

    private static void decide(Waiter waiter, EntryDecision decision, List<Waiter> out) {
        waiter.decide(decision);
        out.add(waiter);
    }

    /** Returns the expected time until a request that waits here receives credits. */
    private long expectedNanos(Waiter waiter, long now) {
        int rank = waiter.rank();
        int retriesAhead = waiter.lane() == Lane.RETURNED ? 0 : expectedRetries.aheadOfNew(rank, now);
        return expectedNanos(waiter.request(), queue.ahead(rank, waiter.lane()) + retriesAhead);
    }

    /**
     * Returns the expected time until a request that its caller retries receives credits, behind all earlier expected
     * retries.
     */
    private long expectedRetryNanos(Waiter waiter, long now) {
        int rank = waiter.rank();
        return expectedNanos(waiter.request(), queue.ahead(rank, Lane.LATE) + expectedRetries.all(rank, now));
    }

    private long expectedNanos(WaitingRequest request, int ahead) {
        return credits.expectedWaitNanos(request.tree(), request.claimant(), ahead);
    }

    private Lane lane(WaitingRequest request, long earlyNanos) {
        if (request.objectiveNanos() <= neededNanos(request)) {
            return Lane.LATE;
        }
        return request.returned() && earlyNanos == 0 ? Lane.RETURNED : Lane.NEW;
    }

    private long maxWaitNanos(WaitingRequest request, Lane lane) {
        long end = lane == Lane.LATE ? request.remainingNanos() : request.objectiveNanos();
        return Math.min(end - neededNanos(request), (long) (MAX_WAIT_SHARE * request.remainingNanos()));
    }

    private long neededNanos(WaitingRequest request) {
        return (long) (NEEDED_TIME_FACTOR * credits.usualNanos(request.tree()));
    }
}
