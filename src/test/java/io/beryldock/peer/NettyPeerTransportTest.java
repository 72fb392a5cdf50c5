package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NettyPeerTransportTest {

    private PeerPair pair;

    @BeforeEach
    void start() throws Exception {
        pair = PeerPair.start();
    }

    @AfterEach
    void stop() throws Exception {
        pair.close();
    }

    /**
     * Guards against a caller that receives the reply to another request. Many requests share one connection and their
     * replies arrive in a different order; each reply must complete the request with the same id.
     */
    @Test
    void repliesOutOfOrderCompleteTheirOwnRequests() throws Exception {
        List<CompletableFuture<ByteString>> replies = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            replies.add(pair.request(PeerTopic.QUERY, "ask " + i));
        }
        PeerPair.await(() -> pair.held.size() == 200);
        List<PeerHandler.PeerMessage> shuffled = new ArrayList<>(pair.held);
        Collections.shuffle(shuffled, new Random(7));
        shuffled.forEach(message -> message.reply(message.body().concat(PeerPair.text(" of " + message.sender()))));
        for (int i = 0; i < 200; i++) {
            assertThat(PeerPair.get(replies.get(i))).isEqualTo("ask " + i + " of a");
        }
        assertThat(pair.relay.connections()).isEqualTo(1);
    }

    @Test
    void aOneWayMessageReachesItsHandler() {
        List<String> seen = Collections.synchronizedList(new ArrayList<>());
        pair.b.registerHandler(
                PeerTopic.MEMBERSHIP, message -> seen.add(message.body().toStringUtf8()));
        pair.a.send(pair.relay.address(), PeerTopic.MEMBERSHIP, PeerPair.text("ping"));
        PeerPair.await(() -> seen.contains("ping"));
    }

    @Test
    void aBodyOfOneMebibyteIsSentAndReturnedUnchanged() throws Exception {
        byte[] body = new byte[1 << 20];
        new Random(3).nextBytes(body);
        CompletableFuture<ByteString> reply =
                pair.a.request(pair.relay.address(), PeerTopic.CALL, ByteString.copyFrom(body), PeerPair.LONG);
        PeerPair.await(reply::isDone);
        assertThat(reply.join().toByteArray()).isEqualTo(body);
    }

    @Test
    void aTooLargeMessageFailsAsNotSentAndATooLargeReplyAsLost() throws Exception {
        PeerPair.get(pair.request(PeerTopic.CALL, "hello"));
        ByteString large = ByteString.copyFrom(new byte[3 << 20]);
        assertThat(PeerPair.failure(pair.a.request(pair.relay.address(), PeerTopic.CALL, large, PeerPair.LONG)))
                .isEqualTo(PeerException.Kind.NOT_SENT);
        CompletableFuture<ByteString> reply = pair.requestHeld("ask");
        pair.held.get(0).reply(large);
        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "still"))).isEqualTo("still");
    }

    @Test
    void aTopicWithoutHandlerFailsAsNotSentAndAFailingHandlerAsLost() throws Exception {
        pair.b.registerHandler(PeerTopic.TICKETS, message -> {
            throw new IllegalStateException("broken handler");
        });
        assertThat(PeerPair.failure(pair.request(PeerTopic.QUARANTINE, "x"))).isEqualTo(PeerException.Kind.NOT_SENT);
        assertThat(PeerPair.failure(pair.request(PeerTopic.TICKETS, "x"))).isEqualTo(PeerException.Kind.LOST);
    }

    @Test
    void aCancelledRequestIsCancelledAtThePeerAndItsLateReplyIsDropped() throws Exception {
        CompletableFuture<ByteString> reply = pair.requestHeld("page");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(0).onCancel(cancelled::incrementAndGet);
        reply.cancel(false);
        PeerPair.await(() -> cancelled.get() == 1);
        pair.held.get(0).reply(PeerPair.text("late"));
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "next"))).isEqualTo("next");
        assertThat(cancelled).hasValue(1);
    }

    /**
     * Guards against a late reply that completes another request. A request times out while its reply is in flight. The
     * reply matches no request that is still open, so it must be counted and dropped.
     */
    @Test
    void aReplyAfterTheDeadlineIsDropped() throws Exception {
        CompletableFuture<ByteString> reply =
                pair.a.request(pair.relay.address(), PeerTopic.QUERY, PeerPair.text("slow"), Duration.ofMillis(200));
        PeerPair.await(() -> pair.held.size() == 1);
        pair.relay.setForwardFault(FaultyRelay.Fault.FREEZE);
        pair.advance(Duration.ofMillis(250));
        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.TIMED_OUT);
        pair.held.get(0).reply(PeerPair.text("late"));
        PeerPair.await(() -> pair.a.stats().droppedReplies() == 1);
        pair.relay.setForwardFault(FaultyRelay.Fault.NONE);
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "next"))).isEqualTo("next");
    }

    @Test
    void aClosedConnectionFailsItsRequestsAsLostAndCancelsThemAtThePeer() throws Exception {
        CompletableFuture<ByteString> reply = pair.requestHeld("order");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(0).onCancel(cancelled::incrementAndGet);
        pair.relay.closeConnections();
        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
        PeerPair.await(() -> cancelled.get() == 1);
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "next"))).isEqualTo("next");
    }

    @Test
    void aRequestOnAClosedTransportFailsAsNotSent() throws Exception {
        pair.a.close();
        assertThat(PeerPair.failure(pair.request(PeerTopic.CALL, "x"))).isEqualTo(PeerException.Kind.NOT_SENT);
    }

    @Test
    void aPortInUseIsReportedWithTheSettingsKeyAndTheRemedy() {
        NettyPeerTransport second = NettyPeerTransport.create(
                PeerTransportSettings.insecure(pair.b.localAddress()),
                PeerPair.identity("c"),
                pair.timers,
                (kind, id, subject, detail) -> {});
        assertThatThrownBy(second::start)
                .isInstanceOf(PeerStartException.class)
                .hasMessageContaining("peers.port")
                .hasMessageContaining("free the port");
        second.close();
    }

    /**
     * Guards against requests that fail during a rolling restart. Peers continue to send over open connections to a
     * node that accepts no more requests. Its go-away frame names the last accepted request: that request gets its
     * reply, and later ones fail as not sent.
     */
    @Test
    void aDrainingNodeFinishesItsRequestsAndAcceptsNoMore() throws Exception {
        CompletableFuture<ByteString> inFlight = pair.requestHeld("order");
        CompletableFuture<Void> drained = pair.b.drain();
        CompletableFuture<ByteString> later = pair.request(PeerTopic.QUERY, "later");
        assertThat(PeerPair.failure(later)).isEqualTo(PeerException.Kind.NOT_SENT);
        pair.advance(Duration.ofMillis(200));
        assertThat(drained).isNotDone();

        pair.held.get(0).reply(PeerPair.text("placed"));

        assertThat(PeerPair.get(inFlight)).isEqualTo("placed");
        PeerPair.await(() -> pair.b.stats().connections().isEmpty());
        pair.advanceUntil(drained::isDone, Duration.ofSeconds(1));
        assertThat(pair.held).hasSize(1);
    }
}
