package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.wire.WireTicketHandoverReply;
import io.beryldock.wire.WireTicketOffer;
import io.beryldock.wire.WireTicketPart;
import io.beryldock.wire.WireTicketRequest;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Hands the ticket tables of a stopping node over to its neighbours.
 *
 * <p>The tables are frozen first and stay frozen, whether or not the transfer succeeds. A table has at most one
 * successor: another node is tried only while the previous one cannot hold the whole table, which means before the last
 * part was sent or after a definite refusal. Otherwise the last part is repeated until it is acknowledged or the
 * deadline passes. The tickets of a table whose transfer fails end UNKNOWN. Called on the control thread only.
 */
public final class TicketHandover {

    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REPEAT_GAP = Duration.ofMillis(200);

    private final IdempotencyPorts ports;
    private final TicketRegistry tickets;
    private final HomeLocator locator;
    private final long partBytes;
    private Optional<CompletableFuture<Integer>> stopResult = Optional.empty();

    private TicketHandover(IdempotencyPorts ports, TicketRegistry tickets, long partBytes) {
        this.ports = ports;
        this.tickets = tickets;
        this.locator = HomeLocator.of(ports.directory());
        this.partBytes = partBytes;
    }

    static TicketHandover create(IdempotencyPorts ports, TicketRegistry tickets, long partBytes) {
        return new TicketHandover(ports, tickets, partBytes);
    }

    /**
     * Waits until no ticket is in flight, freezes all tables and hands them over.
     *
     * <p>To be called after the node has stopped accepting requests of callers.
     *
     * @param drainLimit maximum wait for tickets in flight; tickets still in flight after it are handed over as UNKNOWN
     * @param transferLimit maximum time for the transfer
     * @return completes when every table is handed over or given up, with the number of tables given up
     */
    public CompletableFuture<Integer> stop(Duration drainLimit, Duration transferLimit) {
        if (stopResult.isPresent()) {
            // A repeated stop request must not hand the tables over to a second successor.
            return stopResult.get();
        }
        CompletableFuture<Integer> givenUp = new CompletableFuture<>();
        stopResult = Optional.of(givenUp);
        awaitIdle(now() + drainLimit.toNanos(), () -> handOverAll(transferLimit, givenUp));
        return givenUp;
    }

    private void awaitIdle(long deadline, Runnable action) {
        if (tickets.inFlight() == 0 || now() - deadline >= 0) {
            action.run();
            return;
        }
        schedule(POLL, () -> awaitIdle(deadline, action));
    }

    private void handOverAll(Duration limit, CompletableFuture<Integer> givenUp) {
        long deadline = now() + limit.toNanos();
        CompletableFuture<Integer> sum = CompletableFuture.completedFuture(0);
        for (TicketTransfer transfer : tickets.freezeAll()) {
            if (!transfer.entries().isEmpty()) {
                sum = sum.thenCombine(handOver(transfer, deadline), (count, adopted) -> count + (adopted ? 0 : 1));
            }
        }
        FutureCallbacks.onComplete(sum, (count, failure) -> givenUp.complete(count));
    }

    private CompletableFuture<Boolean> handOver(TicketTransfer transfer, long deadline) {
        ImmutableList<NodeDescriptor> candidates = locator.successors(transfer.origin()).stream()
                .filter(node -> !node.id().equals(ports.self().id()))
                .collect(ImmutableList.toImmutableList());
        CompletableFuture<Boolean> adopted = new CompletableFuture<>();
        new Transfer(transfer, deadline, candidates, adopted).offerNext();
        return adopted;
    }

    /** Transfer of one table to its successor. */
    private final class Transfer {
        private final TicketTransfer table;
        private final long deadline;
        private final List<Map<Long, TicketEntry>> parts;
        private final CompletableFuture<Boolean> adopted;
        private ImmutableList<NodeDescriptor> remaining;

        Transfer(
                TicketTransfer table,
                long deadline,
                ImmutableList<NodeDescriptor> candidates,
                CompletableFuture<Boolean> adopted) {
            this.table = table;
            this.deadline = deadline;
            this.parts = table.parts(partBytes);
            this.adopted = adopted;
            this.remaining = candidates;
        }

        void offerNext() {
            if (remaining.isEmpty() || now() - deadline >= 0) {
                giveUp();
                return;
            }
            NodeDescriptor successor = remaining.get(0);
            remaining = remaining.subList(1, remaining.size());
            ask(successor, WireTicketRequest.newBuilder().setOffer(offer(successor)), (accepted, failure) -> {
                if (accepted) {
                    send(successor, 0);
                } else {
                    offerNext();
                }
            });
        }

        private void send(NodeDescriptor successor, int number) {
            boolean last = number == parts.size() - 1;
            WireTicketRequest.Builder part = WireTicketRequest.newBuilder().setPart(part(successor, number));
            ask(successor, part, (accepted, failure) -> {
                if (accepted && last) {
                    handedOver(successor);
                } else if (accepted) {
                    send(successor, number + 1);
                } else if (failure && last) {
                    repeatLast(successor, number);
                } else {
                    offerNext();
                }
            });
        }

        /**
         * Sends the last part again because its acknowledgement is missing. The successor may already hold the whole
         * table and act on it, so the table must not be offered to another node: both would dispatch the same tickets.
         */
        private void repeatLast(NodeDescriptor successor, int number) {
            if (now() - deadline >= 0) {
                giveUp();
                return;
            }
            schedule(REPEAT_GAP, () -> send(successor, number));
        }

        private void handedOver(NodeDescriptor successor) {
            tickets.recordHandover(table.origin(), TicketHome.of(successor));
            String detail = table.entries().size() + " tickets to " + successor.id();
            ports.events()
                    .record(EventKind.TICKETS_HANDED_OVER, table.origin().node().value(), detail);
            adopted.complete(true);
        }

        private void giveUp() {
            String detail = table.entries().size() + " tickets given up; they end UNKNOWN";
            ports.events()
                    .record(EventKind.TICKETS_HANDED_OVER, table.origin().node().value(), detail);
            adopted.complete(false);
        }

        private WireTicketOffer offer(NodeDescriptor successor) {
            return WireTicketOffer.newBuilder()
                    .setOrigin(table.origin().toWire())
                    .setSuccessorHigh(successor.incarnation().high())
                    .setSuccessorLow(successor.incarnation().low())
                    .setParts(parts.size())
                    .setEntries(table.entries().size())
                    .setBytes(table.bytes())
                    .setLastCounter(table.lastCounter())
                    .build();
        }

        private WireTicketPart part(NodeDescriptor successor, int number) {
            return WireTicketPart.newBuilder()
                    .setOrigin(table.origin().toWire())
                    .setSuccessorHigh(successor.incarnation().high())
                    .setSuccessorLow(successor.incarnation().low())
                    .setNumber(number)
                    .addAllEntries(TicketTransfer.encode(parts.get(number), now()))
                    .build();
        }
    }

    /** Receives a successor's reply, or the failure to get one. */
    @FunctionalInterface
    private interface ReplyListener {
        void replied(boolean accepted, boolean failure);
    }

    private void ask(NodeDescriptor successor, WireTicketRequest.Builder request, ReplyListener listener) {
        FutureCallbacks.onComplete(
                ports.peers().ask(successor, request.build(), ASK_TIMEOUT), ports.control(), (reply, failure) -> {
                    boolean replied = failure == null && reply.hasHandover();
                    WireTicketHandoverReply handover =
                            replied ? reply.getHandover() : WireTicketHandoverReply.getDefaultInstance();
                    listener.replied(handover.getAccepted(), !replied);
                });
    }

    private void schedule(Duration delay, Runnable task) {
        TimerService.Subscription unused =
                ports.timers().after(delay, () -> ports.control().execute(task));
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }
}
