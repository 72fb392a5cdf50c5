package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.peer.FaultyRelay.Fault;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SilentConnectionTest {

    private static final PeerLiveness BOUNDS = PeerLiveness.defaults();
    private static final Duration SILENCE =
            BOUNDS.silenceLimit().plus(BOUNDS.tick().multipliedBy(3));
    private static final int LARGE = 256 * 1024;

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
     * Guards against a call that hangs on a dead connection. A network device between two nodes drops its state of the
     * connection: bytes of both directions are lost and the sockets report no error. The call must fail as lost within
     * the limit, and the next call must use a new connection.
     */
    @Test
    void aCallOnADeadConnectionFailsAsLostWithinTheLimitAndTheNextUsesANewConnection() throws Exception {
        CompletableFuture<ByteString> reply = pair.requestHeld("page");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(0).onCancel(cancelled::incrementAndGet);
        pair.relay.setForwardFault(Fault.LOSE);
        pair.relay.setBackwardFault(Fault.LOSE);

        pair.advanceUntil(reply::isDone, SILENCE);

        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
        assertThat(pair.events).contains(EventKind.PEER_CONNECTION_STALLED);
        assertThat(pair.a.stats().stalled()).isEqualTo(1);
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "next"))).isEqualTo("next");
        assertThat(pair.a.stats().reconnects()).isEqualTo(1);
        pair.advanceUntil(() -> cancelled.get() == 1, SILENCE);
    }

    /**
     * Guards against a call that hangs when only one direction fails. Bytes from node a are lost while bytes from b
     * still arrive, so both sockets appear healthy. Both ends must detect the loss within the limit: the call of a
     * fails as lost, and b cancels the request that it runs for a.
     */
    @Test
    void lossOfTheForwardDirectionIsDetectedAtBothEnds() throws Exception {
        CompletableFuture<ByteString> reply = pair.requestHeld("order");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(0).onCancel(cancelled::incrementAndGet);
        pair.relay.setForwardFault(Fault.LOSE);

        pair.advanceUntil(() -> reply.isDone() && cancelled.get() == 1, SILENCE);

        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
    }

    /**
     * Guards against a call that hangs although the target has run it. The reply and the pongs are lost. The calling
     * end must abandon the connection within the limit; the other end, whose incoming direction works, then receives
     * the close.
     */
    @Test
    void lossOfTheBackwardDirectionIsDetectedAtBothEnds() throws Exception {
        CompletableFuture<ByteString> reply = pair.requestHeld("order");
        CompletableFuture<ByteString> other = pair.requestHeld("other");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(1).onCancel(cancelled::incrementAndGet);
        pair.relay.setBackwardFault(Fault.LOSE);
        pair.held.get(0).reply(PeerPair.text("ran"));

        pair.advanceUntil(reply::isDone, SILENCE);

        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
        assertThat(PeerPair.failure(other)).isEqualTo(PeerException.Kind.LOST);
        PeerPair.await(() -> cancelled.get() == 1);
    }

    /**
     * Guards against a node that runs out of memory because a peer stopped reading and unwritten requests accumulate.
     * Requests above the buffer limit must fail at once as not sent, and those already written must fail as lost within
     * the silence limit.
     */
    @Test
    void requestsToAPeerThatStoppedReadingAreBoundedAndFail() throws Exception {
        PeerPair.get(pair.request(PeerTopic.CALL, "hello"));
        pair.relay.setForwardFault(Fault.FREEZE);
        ByteString large = ByteString.copyFrom(new byte[LARGE]);
        List<CompletableFuture<ByteString>> replies = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            replies.add(pair.a.request(pair.relay.address(), PeerTopic.CALL, large, PeerPair.LONG));
        }

        pair.advance(BOUNDS.tick());
        long refused = replies.stream().filter(CompletableFuture::isDone).count();
        pair.advanceUntil(() -> replies.stream().allMatch(CompletableFuture::isDone), SILENCE);

        List<PeerException.Kind> kinds = new ArrayList<>();
        for (CompletableFuture<ByteString> reply : replies) {
            kinds.add(PeerPair.failure(reply));
        }
        assertThat(refused).isBetween(20L, 90L);
        assertThat(kinds).filteredOn(PeerException.Kind.NOT_SENT::equals).hasSize((int) refused);
        assertThat(kinds).filteredOn(PeerException.Kind.LOST::equals).hasSize(kinds.size() - (int) refused);
    }

    /**
     * Guards against a target's node that runs out of memory because a peer sends requests without reading the replies.
     * The node must stop reading requests from the peer and abandon the connection within the limit.
     */
    @Test
    void aConnectionToAPeerThatDoesNotReadRepliesIsAbandoned() throws Exception {
        PeerTransportSettings settingsOfB = PeerTransportSettings.insecure(PeerPair.anyPort());
        PeerTransportSettings settingsOfA = settingsOfB.withLiveness(BOUNDS.withSilenceLimit(PeerPair.LONG));
        try (PeerPair pairWithoutLimitAtA = PeerPair.start(settingsOfA, settingsOfB)) {
            ByteString large = ByteString.copyFrom(new byte[LARGE]);
            List<CompletableFuture<ByteString>> replies = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                replies.add(pairWithoutLimitAtA.requestHeld("ask " + i));
            }
            pairWithoutLimitAtA.relay.setBackwardFault(Fault.FREEZE);
            pairWithoutLimitAtA.held.forEach(message -> message.reply(large));
            PeerPair.await(() -> pairWithoutLimitAtA.b.stats().messagesOut() >= replies.size());
            replies.add(pairWithoutLimitAtA.request(PeerTopic.QUERY, "one more"));

            pairWithoutLimitAtA.advanceUntil(() -> pairWithoutLimitAtA.b.stats().stalled() == 1, SILENCE);

            assertThat(pairWithoutLimitAtA.held).hasSize(replies.size() - 1);
        }
    }

    /**
     * Guards against an unknown outcome of the first request after an idle period, if a network device has dropped its
     * state of the idle connection. A ping before use must detect this while the request is still unwritten, and the
     * request must run once, over a new connection.
     */
    @Test
    void aRequestAfterAnIdlePeriodIsNotWrittenToADeadConnection() throws Exception {
        PeerPair.get(pair.request(PeerTopic.CALL, "first"));
        pair.advance(BOUNDS.probeAfter());
        pair.relay.setForwardFault(Fault.LOSE);

        CompletableFuture<ByteString> order = pair.request(PeerTopic.QUERY, "order");
        pair.advance(BOUNDS.probeTimeout().plus(BOUNDS.tick().multipliedBy(2)));
        PeerPair.await(() -> pair.held.size() == 1);
        pair.held.get(0).reply(PeerPair.text("placed"));

        assertThat(PeerPair.get(order)).isEqualTo("placed");
        assertThat(pair.held).hasSize(1);
        assertThat(pair.relay.connections()).isEqualTo(2);
    }

    /**
     * Guards against a slow reply that is lost because its connection is considered dead. A target works for a minute
     * on one request while no other message is sent. Pings confirm that the peer reads, so the connection must be kept.
     */
    @Test
    void aHealthyConnectionWithALongRequestIsKept() throws Exception {
        CompletableFuture<ByteString> reply = pair.requestHeld("slow");
        for (int i = 0; i < 150; i++) {
            pair.advance(BOUNDS.pingAfter().plus(BOUNDS.tick().multipliedBy(2)));
            PeerPair.await(() -> pair.a.stats().messagesIn() == pair.a.stats().messagesOut() - 1);
        }
        assertThat(pair.a.stats().messagesIn()).isGreaterThan(150);
        pair.held.get(0).reply(PeerPair.text("done"));

        assertThat(PeerPair.get(reply)).isEqualTo("done");
        assertThat(pair.relay.connections()).isEqualTo(1);
    }

    /**
     * Guards against a healthy node that other nodes declare failed. Their one-way messages to the node are lost on a
     * dead connection, on which no reply is expected that could reveal the loss. Occasional pings must detect the loss,
     * and a new connection must be made.
     */
    @Test
    void oneWayMessagesOnADeadConnectionMoveToANewOneWithinTheLimit() throws Exception {
        AtomicInteger seen = new AtomicInteger();
        pair.b.registerHandler(PeerTopic.MEMBERSHIP, message -> seen.incrementAndGet());
        sendNotice();
        PeerPair.await(() -> seen.get() == 1);
        pair.relay.setForwardFault(Fault.LOSE);
        Duration elapsed = Duration.ZERO;
        while (pair.a.stats().stalled() == 0) {
            sendNotice();
            pair.advance(BOUNDS.probeAfter());
            elapsed = elapsed.plus(BOUNDS.probeAfter());
        }
        sendNotice();
        PeerPair.await(() -> seen.get() == 2);
        assertThat(elapsed)
                .isLessThanOrEqualTo(
                        BOUNDS.noticePingAfter().plus(BOUNDS.probeAfter().multipliedBy(2)));
    }

    private void sendNotice() {
        pair.a.send(pair.relay.address(), PeerTopic.MEMBERSHIP, PeerPair.text("probe"));
    }

    /** An idle connection causes no traffic and is closed by the node that made it, which then removes its link. */
    @Test
    void anIdleConnectionSendsNothingAndIsClosed() throws Exception {
        PeerPair.get(pair.request(PeerTopic.CALL, "once"));
        long before = pair.a.stats().bytesOut();

        pair.advance(BOUNDS.idleClose().plus(BOUNDS.tick()));

        assertThat(pair.a.stats().bytesOut()).isEqualTo(before);
        PeerPair.await(() -> pair.a.stats().connections().isEmpty()
                && pair.b.stats().connections().isEmpty());
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "again"))).isEqualTo("again");
    }
}
