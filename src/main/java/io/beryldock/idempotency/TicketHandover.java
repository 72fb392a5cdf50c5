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
 * Hands the ticket tables of a node that is stopping over to its neighbours.
 *
 * <p>The tables are frozen first, for ever, whatever becomes of the transfer. A table goes to one successor: another
 * one is tried only while the first can't have it whole, that is before its last part was sent, or after it said that
 * it will never take it. After that the last part is repeated until it is acknowledged or the time is over; a table
 * whose transfer got lost is asked in vain, and its tickets end UNKNOWN. Called on the control thread only.
 */
public final class TicketHandover {

    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REPEAT_GAP = Duration.ofMillis(200);

    private final IdempotencyPorts ports;
    private final TicketRegistry tickets;
    private final HomeLocator locator;
    private final long partBytes;
    private Optional<CompletableFuture<Integer>> stopping = Optional.empty();

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
     * <p>To be called when the node takes no more requests of callers.
     *
     * @param drainLimit longest wait for tickets in flight; those still there then are handed over as unknown
     * @param transferLimit longest time for the transfer
     * @return completes when every table is with its successor or given up; tells how many were given up
     */
    public CompletableFuture<Integer> stop(Duration drainLimit, Duration transferLimit) {
        if (stopping.isPresent()) {
            // A second signal to stop must not hand the tables over to a second successor.
            return stopping.get();
        }
        CompletableFuture<Integer> lost = new CompletableFuture<>();
        stopping = Optional.of(lost);
        awaitIdle(now() + drainLimit.toNanos(), () -> handOverAll(transferLimit, lost));
        return lost;
    }

    private void awaitIdle(long deadline, Runnable then) {
        if (tickets.inFlight() == 0 || now() - deadline >= 0) {
            then.run();
            return;
        }
        later(POLL, () -> awaitIdle(deadline, then));
    }

    private void handOverAll(Duration limit, CompletableFuture<Integer> lost) {
        long deadline = now() + limit.toNanos();
        CompletableFuture<Integer> sum = CompletableFuture.completedFuture(0);
        for (TicketTransfer transfer : tickets.freezeAll()) {
            if (!transfer.entries().isEmpty()) {
                sum = sum.thenCombine(handOver(transfer, deadline), (left, taken) -> left + (taken ? 0 : 1));
            }
        }
        FutureCallbacks.onEnd(sum, (count, failure) -> lost.complete(count));
    }

    private CompletableFuture<Boolean> handOver(TicketTransfer transfer, long deadline) {
        ImmutableList<NodeDescriptor> candidates = locator.successors(transfer.origin()).stream()
                .filter(node -> !node.id().equals(ports.self().id()))
                .collect(ImmutableList.toImmutableList());
        CompletableFuture<Boolean> taken = new CompletableFuture<>();
        new Transfer(transfer, deadline, candidates, taken).offerNext();
        return taken;
    }

    /** The way of one table to its successor. */
    private final class Transfer {
        private final TicketTransfer table;
        private final long deadline;
        private final List<Map<Long, TicketEntry>> parts;
        private final CompletableFuture<Boolean> taken;
        private ImmutableList<NodeDescriptor> untried;

        Transfer(
                TicketTransfer table,
                long deadline,
                ImmutableList<NodeDescriptor> candidates,
                CompletableFuture<Boolean> taken) {
            this.table = table;
            this.deadline = deadline;
            this.parts = table.parts(partBytes);
            this.taken = taken;
            this.untried = candidates;
        }

        void offerNext() {
            if (untried.isEmpty() || now() - deadline >= 0) {
                lost();
                return;
            }
            NodeDescriptor successor = untried.get(0);
            untried = untried.subList(1, untried.size());
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
         * The acknowledgement of the last part is missing. The successor may hold the whole table and decide by now, so
         * no other node may get it: two would dispatch one ticket each.
         */
        private void repeatLast(NodeDescriptor successor, int number) {
            if (now() - deadline >= 0) {
                lost();
                return;
            }
            later(REPEAT_GAP, () -> send(successor, number));
        }

        private void handedOver(NodeDescriptor successor) {
            tickets.handedOver(table.origin(), TicketHome.of(successor));
            String detail = table.entries().size() + " tickets to " + successor.id();
            ports.events()
                    .record(EventKind.TICKETS_HANDED_OVER, table.origin().node().value(), detail);
            taken.complete(true);
        }

        private void lost() {
            String detail = table.entries().size() + " tickets given up; they end UNKNOWN";
            ports.events()
                    .record(EventKind.TICKETS_HANDED_OVER, table.origin().node().value(), detail);
            taken.complete(false);
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
                    .addAllEntries(TicketTransfer.write(parts.get(number), now()))
                    .build();
        }
    }

    /** What a successor said, or that it said nothing. */
    @FunctionalInterface
    private interface ReplyListener {
        void replied(boolean accepted, boolean failure);
    }

    private void ask(NodeDescriptor successor, WireTicketRequest.Builder request, ReplyListener listener) {
        FutureCallbacks.onEnd(
                ports.peers().ask(successor, request.build(), ASK_TIMEOUT), ports.control(), (reply, failure) -> {
                    boolean replied = failure == null && reply.hasHandover();
                    WireTicketHandoverReply handover =
                            replied ? reply.getHandover() : WireTicketHandoverReply.getDefaultInstance();
                    listener.replied(handover.getAccepted(), !replied);
                });
    }

    private void later(Duration delay, Runnable task) {
        TimerService.Subscription unused =
                ports.timers().after(delay, () -> ports.control().execute(task));
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }
}
