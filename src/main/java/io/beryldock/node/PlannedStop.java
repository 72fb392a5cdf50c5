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
 * Stops a node gracefully, without aborting requests.
 *
 * <p>The steps, in this order:
 *
 * <ol>
 *   <li>The target is drained: this node immediately refuses new work for it, other nodes do so once the membership
 *       view has reached them.
 *   <li>The health check reports the node as stopping; callers are still served for a grace period.
 *   <li>New requests are refused, and the node waits for requests in flight, for a limited time.
 *   <li>The tickets are handed over to a peer.
 *   <li>The node leaves the membership.
 * </ol>
 *
 * <p>Called once, on a separate thread.
 */
final class PlannedStop {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Time for the drain to propagate to every node in every data centre. */
    private static final Duration DRAIN_PROPAGATION = Duration.ofSeconds(3);

    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final Parts parts;

    PlannedStop(Parts parts) {
        this.parts = parts;
    }

    /** The components involved in a stop. */
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

    /** Runs all steps. Requests that are still in flight after the drain limit are logged and no longer waited for. */
    void run() throws InterruptedException {
        parts.events().record(EventKind.NODE_STOPPING, "node", "no new work; what is in flight finishes");
        parts.health().markStopping();
        parts.control().run(parts.announcements()::drain);
        Thread.sleep(DRAIN_PROPAGATION.toMillis());
        parts.entry().refuseNew();
        awaitIdle();
        await("tickets", this::handOver, parts.drainLimit().plus(TRANSFER_TIMEOUT));
        await("leave", parts.membership()::leave, LEAVE_TIMEOUT);
    }

    private CompletableFuture<Integer> handOver() {
        return parts.keyed().handover().stop(parts.drainLimit(), TRANSFER_TIMEOUT);
    }

    private void awaitIdle() throws InterruptedException {
        long deadline = parts.ticker().nanos() + parts.drainLimit().toNanos();
        while (inFlight() > 0 && parts.ticker().nanos() < deadline) {
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        if (inFlight() > 0) {
            log.atWarning().log("%d requests were still in flight after limits.drainSeconds", inFlight());
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

    private <T> void await(String name, Supplier<CompletableFuture<T>> step, Duration limit)
            throws InterruptedException {
        CompletableFuture<T> started =
                CompletableFuture.supplyAsync(step, parts.control()).thenCompose(future -> future);
        try {
            started.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.atWarning().withCause(e).log("step '%s' of the planned stop failed or timed out", name);
        }
    }
}
