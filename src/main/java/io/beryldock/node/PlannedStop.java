package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import io.beryldock.forwarding.AnnouncedTarget;
import io.beryldock.forwarding.EntryService;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.membership.Membership;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Stops a node without cutting off a request.
 *
 * <p>In this order: the target takes no new work, here at once and elsewhere as the view spreads; callers are told to
 * go elsewhere, and for a grace still served; what is in flight finishes, bounded; the tickets go to a peer; the node
 * leaves the view. Called once, on a thread of its own.
 */
final class PlannedStop {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Time for the news of the drain to reach every node of every data centre. */
    private static final Duration GRACE = Duration.ofSeconds(3);

    private static final Duration TRANSFER_LIMIT = Duration.ofSeconds(5);
    private static final Duration LEAVE_LIMIT = Duration.ofSeconds(3);
    private static final Duration POLL = Duration.ofMillis(20);

    private final Parts parts;

    PlannedStop(Parts parts) {
        this.parts = parts;
    }

    /** What takes part in a stop. */
    record Parts(
            ControlLoop control,
            TargetAnnouncements announcements,
            EntryService entry,
            RequestTally tally,
            KeyedRequests keyed,
            Membership membership,
            NodeHealth health,
            Ticker ticker,
            EventSink events,
            Duration drainLimit) {}

    /** Returns when nothing is in flight, or the limit is over. */
    void run() throws InterruptedException {
        parts.events().record(EventKind.NODE_STOPPING, "node", "no new work; what is in flight finishes");
        parts.health().stopping();
        parts.control().run(parts.announcements()::drain);
        Thread.sleep(GRACE.toMillis());
        parts.entry().refuseNew();
        awaitIdle();
        await("tickets", this::handOver, parts.drainLimit().plus(TRANSFER_LIMIT));
        await("leave", parts.membership()::leave, LEAVE_LIMIT);
    }

    private CompletableFuture<Integer> handOver() {
        return parts.keyed().handover().stop(parts.drainLimit(), TRANSFER_LIMIT);
    }

    private void awaitIdle() throws InterruptedException {
        long deadline = parts.ticker().nanos() + parts.drainLimit().toNanos();
        while (inFlight() > 0 && parts.ticker().nanos() < deadline) {
            Thread.sleep(POLL.toMillis());
        }
        if (inFlight() > 0) {
            log.atWarning().log("%d requests were in flight when limits.drainSeconds was over", inFlight());
        }
    }

    private long inFlight() {
        long atTarget = parts.announcements()
                .current()
                .map(AnnouncedTarget::gate)
                .map(gate -> gate.snapshot().inFlight() + gate.snapshot().queued())
                .orElse(0);
        return atTarget + parts.tally().inFlight();
    }

    private <T> void await(String what, Supplier<CompletableFuture<T>> step, Duration limit)
            throws InterruptedException {
        CompletableFuture<T> started =
                CompletableFuture.supplyAsync(step, parts.control()).thenCompose(future -> future);
        try {
            started.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.atWarning().withCause(e).log("the step '%s' of the planned stop did not end in time", what);
        }
    }
}
