package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.timeline.HlcTime;
import io.beryldock.timeline.HybridLogicalClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ClockedPeerTransportTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final ByteString BODY = ByteString.copyFromUtf8("body");

    private final HybridLogicalClock ahead = HybridLogicalClock.create(() -> Instant.ofEpochMilli(9_000));
    private final HybridLogicalClock behind = HybridLogicalClock.create(() -> Instant.ofEpochMilli(5_000));
    private final FakeTransport transport = new FakeTransport();
    private final PeerTransport sender = ClockedPeerTransport.create(transport, ahead);
    private final PeerTransport receiver = ClockedPeerTransport.create(transport, behind);

    private CompletableFuture<ByteString> request() {
        return sender.request(ADDRESS, PeerTopic.CALL, BODY, Duration.ofSeconds(1));
    }

    /**
     * Guards against a wrong order of events in the timeline. A node whose wall clock is 4 s behind sheds a request
     * because of a level that it received from another node. Without a clock time in the message, its decision would be
     * recorded as earlier than the change of level that caused it.
     */
    @Test
    void eventsAfterAReceivedMessageAreLaterThanEventsBeforeItWasSent() {
        List<ByteString> bodies = new ArrayList<>();
        List<HlcTime> times = new ArrayList<>();
        receiver.registerHandler(PeerTopic.CALL, message -> {
            bodies.add(message.body());
            times.add(behind.now());
            message.reply(message.body());
        });
        HlcTime cause = ahead.now();
        assertThat(request().join()).isEqualTo(BODY);
        sender.send(ADDRESS, PeerTopic.CALL, ByteString.EMPTY);
        assertThat(bodies).containsExactly(BODY, ByteString.EMPTY);
        assertThat(times.get(0)).isGreaterThan(cause);
        assertThat(ahead.now()).isGreaterThan(times.get(0));
    }

    @Test
    void failuresAndCancellationsArePassedOnUnchanged() {
        receiver.registerHandler(PeerTopic.CALL, message -> {});
        PeerException failure = new PeerException(PeerException.Kind.NOT_SENT, "refused");
        CompletableFuture<ByteString> failed = request();
        List<Throwable> seen = new ArrayList<>();
        CompletableFuture<?> unused = failed.whenComplete((body, error) -> seen.add(error));
        transport.replies.get(0).completeExceptionally(failure);
        assertThat(seen).containsExactly(failure);
        request().cancel(false);
        assertThat(transport.replies.get(1)).isCancelled();
    }

    @Test
    void aMessageWithoutATimeIsDropped() {
        List<ByteString> bodies = new ArrayList<>();
        receiver.registerHandler(PeerTopic.CALL, message -> bodies.add(message.body()));
        transport.send(ADDRESS, PeerTopic.CALL, BODY);
        assertThat(bodies).isEmpty();
    }

    /** Passes each message directly to the only handler. */
    private static final class FakeTransport implements PeerTransport {
        private final List<CompletableFuture<ByteString>> replies = new ArrayList<>();
        private PeerHandler handler;

        @Override
        public CompletableFuture<ByteString> request(
                InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout) {
            CompletableFuture<ByteString> reply = new CompletableFuture<>();
            replies.add(reply);
            handler.handle(new Message(body, reply));
            return reply;
        }

        @Override
        public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {
            handler.handle(new Message(body, new CompletableFuture<>()));
        }

        @Override
        public void registerHandler(PeerTopic topic, PeerHandler registered) {
            handler = registered;
        }
    }

    private record Message(ByteString body, CompletableFuture<ByteString> answer) implements PeerHandler.PeerMessage {

        @Override
        public String sender() {
            return "n1";
        }

        @Override
        public void reply(ByteString reply) {
            answer.complete(reply);
        }

        @Override
        public void onCancel(Runnable task) {
            throw new UnsupportedOperationException("not under test");
        }
    }
}
