package io.beryldock.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.idempotency.IdempotencyPorts;
import io.beryldock.idempotency.KeySettings;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.idempotency.TicketSettings;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.WireTicketReply;
import io.beryldock.wire.WireTicketRequest;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Binds the components that run requests with an idempotency key at most once. */
final class KeyedModule extends AbstractModule {

    @Override
    protected void configure() {
        bind(DeferredDispatcher.class).toInstance(new DeferredDispatcher());
    }

    @Provides
    @Singleton
    KeyedRequests keyedRequests(
            NodeDescriptor self,
            Membership membership,
            DeferredDispatcher dispatcher,
            PeerTransport transport,
            PlatformStore store,
            TimerService timers,
            ControlLoop control,
            EventSink events) {
        IdempotencyPorts ports = new IdempotencyPorts(
                self,
                membership::directory,
                dispatcher,
                (peer, request, timeout) -> ask(transport, peer, request, timeout),
                store,
                timers,
                control,
                new SecureRandom(),
                events);
        KeyedRequests requests = KeyedRequests.create(ports, TicketSettings.defaults(), KeySettings.defaults());
        transport.registerHandler(PeerTopic.TICKETS, requests.handler());
        return requests;
    }

    private static CompletableFuture<WireTicketReply> ask(
            PeerTransport transport, NodeDescriptor peer, WireTicketRequest request, Duration timeout) {
        return transport
                .request(peer.peerAddress(), PeerTopic.TICKETS, request.toByteString(), timeout)
                .thenCompose(KeyedModule::parse);
    }

    private static CompletableFuture<WireTicketReply> parse(ByteString body) {
        try {
            return CompletableFuture.completedFuture(WireTicketReply.parseFrom(body));
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(
                    new PeerException(PeerException.Kind.LOST, "the reply is malformed: " + e.getMessage()));
        }
    }
}
