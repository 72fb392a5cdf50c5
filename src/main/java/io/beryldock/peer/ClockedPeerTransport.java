package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.beryldock.timeline.HlcTime;
import io.beryldock.timeline.HybridLogicalClock;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A peer transport that adds the time of this node's hybrid logical clock to each outgoing message and advances the
 * clock to the time of each incoming message.
 *
 * <p>Events that a node records after it received a message therefore come later in the timeline than events that the
 * sender recorded before it sent the message, even if the wall clocks of the machines differ. The time is encoded in
 * eight bytes before the body; every node of a deployment sends it.
 *
 * <p>Thread safe.
 */
public final class ClockedPeerTransport implements PeerTransport {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final PeerTransport transport;
    private final HybridLogicalClock clock;

    private ClockedPeerTransport(PeerTransport transport, HybridLogicalClock clock) {
        this.transport = transport;
        this.clock = clock;
    }

    public static ClockedPeerTransport create(PeerTransport transport, HybridLogicalClock clock) {
        return new ClockedPeerTransport(transport, clock);
    }

    @Override
    public CompletableFuture<ByteString> request(
            InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout) {
        CompletableFuture<ByteString> reply = new CompletableFuture<>();
        CompletableFuture<ByteString> timestamped = transport.request(peer, topic, addTimestamp(body), timeout);
        // The dependent futures are not returned: they would wrap a failure in a CompletionException and would not
        // propagate a cancellation.
        CompletableFuture<?> unusedArrival =
                timestamped.whenComplete((answer, error) -> forwardReply(answer, error, reply));
        CompletableFuture<?> unusedCancellation = reply.whenComplete((answer, error) -> {
            if (reply.isCancelled()) {
                timestamped.cancel(false);
            }
        });
        return reply;
    }

    @Override
    public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {
        transport.send(peer, topic, addTimestamp(body));
    }

    @Override
    public void registerHandler(PeerTopic topic, PeerHandler handler) {
        transport.registerHandler(topic, message -> {
            if (observe(message.body())) {
                handler.handle(new UnstampedMessage(message));
            }
        });
    }

    private void forwardReply(ByteString answer, Throwable error, CompletableFuture<ByteString> reply) {
        if (error != null) {
            reply.completeExceptionally(error);
        } else if (observe(answer)) {
            reply.complete(answer.substring(Long.BYTES));
        } else {
            reply.completeExceptionally(new PeerException(PeerException.Kind.LOST, "the reply has no time"));
        }
    }

    private ByteString addTimestamp(ByteString body) {
        byte[] timestamped = new byte[Long.BYTES + body.size()];
        ByteBuffer.wrap(timestamped).putLong(clock.now().pack());
        body.copyTo(timestamped, Long.BYTES);
        // The wrap is safe: no other reference to the array exists, so its contents cannot change.
        return UnsafeByteOperations.unsafeWrap(timestamped);
    }

    /**
     * Advances the clock to the time of the message.
     *
     * @return false if the message has no time, for example because a program other than a node sent it; the caller
     *     drops such a message
     */
    private boolean observe(ByteString timestamped) {
        if (timestamped.size() < Long.BYTES) {
            log.atWarning().log("dropped a peer message without a clock time");
            return false;
        }
        clock.observe(HlcTime.unpack(timestamped.asReadOnlyByteBuffer().getLong()));
        return true;
    }

    /** A received message with the time removed from its body. */
    private final class UnstampedMessage implements PeerHandler.PeerMessage {
        private final PeerHandler.PeerMessage message;

        UnstampedMessage(PeerHandler.PeerMessage message) {
            this.message = message;
        }

        @Override
        public String sender() {
            return message.sender();
        }

        @Override
        public ByteString body() {
            return message.body().substring(Long.BYTES);
        }

        @Override
        public void reply(ByteString body) {
            message.reply(addTimestamp(body));
        }

        @Override
        public void onCancel(Runnable task) {
            message.onCancel(task);
        }
    }
}
