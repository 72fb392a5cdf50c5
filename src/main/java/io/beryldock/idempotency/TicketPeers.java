package io.beryldock.idempotency;

import io.beryldock.membership.NodeDescriptor;
import io.beryldock.wire.WireTicketReply;
import io.beryldock.wire.WireTicketRequest;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends a request on the topic TICKETS. The future may complete on any thread; it fails only with a PeerException. */
@FunctionalInterface
public interface TicketPeers {

    CompletableFuture<WireTicketReply> ask(NodeDescriptor peer, WireTicketRequest request, Duration timeout);
}
