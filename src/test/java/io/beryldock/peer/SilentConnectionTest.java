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
     * A page hangs although new pages open. A device between two nodes forgot the connection: bytes of both directions
     * vanish, the sockets report nothing. The call ends as lost within the bound, and the next goes over a new
     * connection.
     */
    @Test
    void aCallOnAForgottenConnectionIsLostInTimeAndTheNextGetsANewOne() throws Exception {
        CompletableFuture<ByteString> reply = pair.askHeld("page");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(0).onCancel(cancelled::incrementAndGet);
        pair.relay.spoilForth(Fault.LOSE);
        pair.relay.spoilBack(Fault.LOSE);

        pair.advanceUntil(reply::isDone, SILENCE);

        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
        assertThat(pair.events).contains(EventKind.PEER_CONNECTION_STALLED);
        assertThat(pair.a.stats().stalled()).isEqualTo(1);
        assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "next"))).isEqualTo("next");
        assertThat(pair.a.stats().reconnects()).isEqualTo(1);
        pair.advanceUntil(() -> cancelled.get() == 1, SILENCE);
    }

    /**
     * An order hangs. What node a sends is lost on its way, what b sends still arrives, so that both sockets look
     * sound. Both ends learn of it within the bound: a's call ends as lost, b cancels the work that it has for a.
     */
    @Test
    void lossOfTheWayForthIsSeenAtBothEnds() throws Exception {
        CompletableFuture<ByteString> reply = pair.askHeld("order");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(0).onCancel(cancelled::incrementAndGet);
        pair.relay.spoilForth(Fault.LOSE);

        pair.advanceUntil(() -> reply.isDone() && cancelled.get() == 1, SILENCE);

        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
    }

    /**
     * An order hangs though its target has run it. The reply is lost on its way back, with the pongs. The asking end
     * gives the connection up within the bound, and the other end, whose way is sound, sees it closed.
     */
    @Test
    void lossOfTheWayBackIsSeenAtBothEnds() throws Exception {
        CompletableFuture<ByteString> reply = pair.askHeld("order");
        CompletableFuture<ByteString> other = pair.askHeld("other");
        AtomicInteger cancelled = new AtomicInteger();
        pair.held.get(1).onCancel(cancelled::incrementAndGet);
        pair.relay.spoilBack(Fault.LOSE);
        pair.held.get(0).reply(PeerPair.text("ran"));

        pair.advanceUntil(reply::isDone, SILENCE);

        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
        assertThat(PeerPair.failure(other)).isEqualTo(PeerException.Kind.LOST);
        PeerPair.await(() -> cancelled.get() == 1);
    }

    /**
     * Memory of a node grows until it dies. Its peer stopped reading, and requests pile up unwritten. Over the bound
     * they fail at once as not sent, and those written end as lost within the bound.
     */
    @Test
    void requestsToAStalledReaderAreBoundedAndEnd() throws Exception {
        PeerPair.get(pair.ask(PeerTopic.CALL, "hello"));
        pair.relay.spoilForth(Fault.FREEZE);
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
     * Memory of a target's node grows until it dies. Its peer asks but stopped reading replies. The node stops reading
     * more requests from it and gives the connection up within the bound.
     */
    @Test
    void aPeerThatDoesNotReadItsRepliesIsGivenUp() throws Exception {
        PeerTransportSettings ofB = PeerTransportSettings.insecure(PeerPair.anyPort());
        PeerTransportSettings ofA = ofB.withLiveness(BOUNDS.withSilenceLimit(PeerPair.LONG));
        try (PeerPair patient = PeerPair.start(ofA, ofB)) {
            ByteString large = ByteString.copyFrom(new byte[LARGE]);
            List<CompletableFuture<ByteString>> replies = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                replies.add(patient.askHeld("ask " + i));
            }
            patient.relay.spoilBack(Fault.FREEZE);
            patient.held.forEach(message -> message.reply(large));
            PeerPair.await(() -> patient.b.stats().messagesOut() >= replies.size());
            replies.add(patient.ask(PeerTopic.QUERY, "one more"));

            patient.advanceUntil(() -> patient.b.stats().stalled() == 1, SILENCE);

            assertThat(patient.held).hasSize(replies.size() - 1);
        }
    }

    /**
     * Every first order after a quiet minute has an unknown outcome. The idle connection was forgotten on the way. A
     * ping before use finds that out while the order is still unwritten, and the order runs once, over a new
     * connection.
     */
    @Test
    void aRequestAfterAQuietTimeIsNotWrittenToADeadConnection() throws Exception {
        PeerPair.get(pair.ask(PeerTopic.CALL, "first"));
        pair.advance(BOUNDS.probeAfter());
        pair.relay.spoilForth(Fault.LOSE);

        CompletableFuture<ByteString> order = pair.ask(PeerTopic.QUERY, "order");
        pair.advance(BOUNDS.probeTimeout().plus(BOUNDS.tick().multipliedBy(2)));
        PeerPair.await(() -> pair.held.size() == 1);
        pair.held.get(0).reply(PeerPair.text("placed"));

        assertThat(PeerPair.get(order)).isEqualTo("placed");
        assertThat(pair.held).hasSize(1);
        assertThat(pair.relay.connections()).isEqualTo(2);
    }

    /**
     * A slow answer never comes, as its connection is taken for dead. A target works for a minute on one request
     * while nothing else is asked. Pings show that the peer reads, and the connection stays.
     */
    @Test
    void aLongRequestOnASoundConnectionIsNotGivenUp() throws Exception {
        CompletableFuture<ByteString> reply = pair.askHeld("slow");
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
     * Nodes of a whole VM row call a healthy node failed. Their one-way messages to it vanish on a forgotten
     * connection, and nothing ever comes back on it by itself. A ping now and then finds that out, and a new
     * connection is made.
     */
    @Test
    void oneWayMessagesDoNotGoToADeadConnectionForLong() throws Exception {
        AtomicInteger seen = new AtomicInteger();
        pair.b.handle(PeerTopic.MEMBERSHIP, message -> seen.incrementAndGet());
        notice();
        PeerPair.await(() -> seen.get() == 1);
        pair.relay.spoilForth(Fault.LOSE);
        Duration passed = Duration.ZERO;
        while (pair.a.stats().stalled() == 0) {
            notice();
            pair.advance(BOUNDS.probeAfter());
            passed = passed.plus(BOUNDS.probeAfter());
        }
        notice();
        PeerPair.await(() -> seen.get() == 2);
        assertThat(passed)
                .isLessThanOrEqualTo(
                        BOUNDS.noticePingAfter().plus(BOUNDS.probeAfter().multipliedBy(2)));
    }

    private void notice() {
        pair.a.send(pair.relay.address(), PeerTopic.MEMBERSHIP, PeerPair.text("probe"));
    }

    /** A quiet connection costs nothing, and is closed by the node that made it; its link is forgotten. */
    @Test
    void anIdleConnectionSendsNothingAndIsClosed() throws Exception {
        PeerPair.get(pair.ask(PeerTopic.CALL, "once"));
        long before = pair.a.stats().bytesOut();

        pair.advance(BOUNDS.idleClose().plus(BOUNDS.tick()));

        assertThat(pair.a.stats().bytesOut()).isEqualTo(before);
        PeerPair.await(() -> pair.a.stats().connections().isEmpty()
                && pair.b.stats().connections().isEmpty());
        assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "again"))).isEqualTo("again");
    }
}
