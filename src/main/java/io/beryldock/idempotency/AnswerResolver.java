package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.wire.WireAnswerQuery;
import io.beryldock.wire.WireTicketReply;
import io.beryldock.wire.WireTicketRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Asks the nodes of a service's targets for the answer of a request whose end its home does not know, or whose home is
 * gone.
 *
 * <p>It only ever finds answers: that nobody knows the request does not mean that it ran nowhere, since a target's node
 * may have been replaced. Thread safe.
 */
final class HomeGoneResolver {

    /** Nodes asked for one request; a service has about nine. */
    private static final int MAX_ASKED = 64;

    private final NodeDescriptor self;
    private final Supplier<Directory> directory;
    private final TicketPeers peers;
    private final AnswerMemory memory;

    private HomeGoneResolver(
            NodeDescriptor self, Supplier<Directory> directory, TicketPeers peers, AnswerMemory memory) {
        this.self = self;
        this.directory = directory;
        this.peers = peers;
        this.memory = memory;
    }

    static HomeGoneResolver create(
            NodeDescriptor self, Supplier<Directory> directory, TicketPeers peers, AnswerMemory memory) {
        return new HomeGoneResolver(self, directory, peers, memory);
    }

    /** The answer that a target's node keeps for this identity and request, empty when none says so in time. */
    CompletableFuture<Optional<CallResult>> search(
            TicketId ticket, ServiceName service, TicketScope scope, Duration timeout) {
        List<NodeDescriptor> nodes = directory.get().targetsOf(service).stream()
                .map(TargetRecord::node)
                .distinct()
                .limit(MAX_ASKED)
                .collect(ImmutableList.toImmutableList());
        CompletableFuture<Optional<CallResult>> found = new CompletableFuture<>();
        if (nodes.isEmpty()) {
            found.complete(Optional.empty());
        }
        AtomicInteger awaited = new AtomicInteger(nodes.size());
        for (NodeDescriptor node : nodes) {
            FutureCallbacks.onEnd(ask(node, ticket, scope, timeout), (result, failure) -> {
                if (failure == null && result.isPresent() && result.get().outcome() == Outcome.ANSWERED) {
                    found.complete(result);
                }
                if (awaited.decrementAndGet() == 0) {
                    found.complete(Optional.empty());
                }
            });
        }
        return found;
    }

    private CompletableFuture<Optional<CallResult>> ask(
            NodeDescriptor node, TicketId ticket, TicketScope scope, Duration timeout) {
        if (node.equals(self)) {
            return memory.find(ticket.toString(), scope);
        }
        WireAnswerQuery query = WireAnswerQuery.newBuilder()
                .setTicket(ticket.toString())
                .setIdentity(scope.identity().hash())
                .setFingerprint(scope.fingerprint().hash())
                .build();
        WireTicketRequest request =
                WireTicketRequest.newBuilder().setAnswerQuery(query).build();
        return peers.ask(node, request, timeout).thenApply(HomeGoneResolver::read);
    }

    private static Optional<CallResult> read(WireTicketReply reply) {
        return reply.getAnswer().hasResult()
                ? Optional.of(CallCodec.decode(reply.getAnswer().getResult()))
                : Optional.empty();
    }
}
