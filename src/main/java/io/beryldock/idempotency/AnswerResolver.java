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
 * Searches the nodes of a service's targets for the answer to a request whose outcome is UNKNOWN at its home or whose
 * home is gone.
 *
 * <p>The search can only find an answer. A search without a result does not prove that the request ran nowhere, since a
 * target's node may have been replaced. Thread safe.
 */
final class AnswerResolver {

    /** Maximum number of nodes queried for one request; a service typically has about nine. */
    private static final int MAX_QUERIED_NODES = 64;

    private final NodeDescriptor self;
    private final Supplier<Directory> directory;
    private final TicketPeers peers;
    private final KeyedRunTable runTable;

    private AnswerResolver(
            NodeDescriptor self, Supplier<Directory> directory, TicketPeers peers, KeyedRunTable runTable) {
        this.self = self;
        this.directory = directory;
        this.peers = peers;
        this.runTable = runTable;
    }

    static AnswerResolver create(
            NodeDescriptor self, Supplier<Directory> directory, TicketPeers peers, KeyedRunTable runTable) {
        return new AnswerResolver(self, directory, peers, runTable);
    }

    /**
     * Returns the answer that a target's node holds for this request and caller identity; empty if no node returns one
     * within the timeout.
     */
    CompletableFuture<Optional<CallResult>> search(
            TicketId ticket, ServiceName service, TicketScope scope, Duration timeout) {
        List<NodeDescriptor> nodes = directory.get().targetsOf(service).stream()
                .map(TargetRecord::node)
                .distinct()
                .limit(MAX_QUERIED_NODES)
                .collect(ImmutableList.toImmutableList());
        CompletableFuture<Optional<CallResult>> found = new CompletableFuture<>();
        if (nodes.isEmpty()) {
            found.complete(Optional.empty());
        }
        AtomicInteger outstanding = new AtomicInteger(nodes.size());
        for (NodeDescriptor node : nodes) {
            FutureCallbacks.onComplete(query(node, ticket, scope, timeout), (result, failure) -> {
                if (failure == null && result.isPresent() && result.get().outcome() == Outcome.ANSWERED) {
                    found.complete(result);
                }
                if (outstanding.decrementAndGet() == 0) {
                    found.complete(Optional.empty());
                }
            });
        }
        return found;
    }

    private CompletableFuture<Optional<CallResult>> query(
            NodeDescriptor node, TicketId ticket, TicketScope scope, Duration timeout) {
        if (node.equals(self)) {
            return runTable.find(ticket.toString(), scope);
        }
        WireAnswerQuery query = WireAnswerQuery.newBuilder()
                .setTicket(ticket.toString())
                .setIdentity(scope.identity().hash())
                .setFingerprint(scope.fingerprint().hash())
                .build();
        WireTicketRequest request =
                WireTicketRequest.newBuilder().setAnswerQuery(query).build();
        return peers.ask(node, request, timeout).thenApply(AnswerResolver::decode);
    }

    private static Optional<CallResult> decode(WireTicketReply reply) {
        return reply.getAnswer().hasResult()
                ? Optional.of(CallCodec.decode(reply.getAnswer().getResult()))
                : Optional.empty();
    }
}
