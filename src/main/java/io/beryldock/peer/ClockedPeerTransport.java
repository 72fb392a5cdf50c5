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
 * Sends the time of this node's hybrid logical clock with each message and observes that of each message it gets.
 *
 * <p>Thread safe. So whatever a node records after it got a message comes later in the time line than what the sender
 * recorded before it sent it, though the machines' wall clocks differ. The time is eight bytes before the body; every
 * node of a deployment sends it.
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
        CompletableFuture<ByteString> stamped = transport.request(peer, topic, stamp(body), timeout);
        // Callers get neither dependent future: it would wrap a failure, and keep a cancellation to itself.
        CompletableFuture<?> unusedArrival = stamped.whenComplete((answer, error) -> pass(answer, error, reply));
        CompletableFuture<?> unusedCancellation = reply.whenComplete((answer, error) -> {
            if (reply.isCancelled()) {
                stamped.cancel(false);
            }
        });
        return reply;
    }

    @Override
    public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {
        transport.send(peer, topic, stamp(body));
    }

    @Override
    public void handle(PeerTopic topic, PeerHandler handler) {
        transport.handle(topic, message -> {
            if (observe(message.body())) {
                handler.handle(new ClockedMessage(message));
            }
        });
    }

    private void pass(ByteString answer, Throwable error, CompletableFuture<ByteString> reply) {
        if (error != null) {
            reply.completeExceptionally(error);
        } else if (observe(answer)) {
            reply.complete(answer.substring(Long.BYTES));
        } else {
            reply.completeExceptionally(new PeerException(PeerException.Kind.LOST, "the reply has no time"));
        }
    }

    private ByteString stamp(ByteString body) {
        byte[] stamped = new byte[Long.BYTES + body.size()];
        ByteBuffer.wrap(stamped).putLong(clock.now().pack());
        body.copyTo(stamped, Long.BYTES);
        // The array is not kept anywhere else, so that nothing can change what it holds.
        return UnsafeByteOperations.unsafeWrap(stamped);
    }

    /** False when the message has no time, as from a program that is no node; such a message is dropped. */
    private boolean observe(ByteString stamped) {
        if (stamped.size() < Long.BYTES) {
            log.atWarning().log("a message without a time is dropped");
            return false;
        }
        clock.observe(HlcTime.unpack(stamped.asReadOnlyByteBuffer().getLong()));
        return true;
    }

    /** A message without its time. */
    private final class ClockedMessage implements PeerHandler.PeerMessage {
        private final PeerHandler.PeerMessage message;

        ClockedMessage(PeerHandler.PeerMessage message) {
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
            message.reply(stamp(body));
        }

        @Override
        public void onCancel(Runnable task) {
            message.onCancel(task);
        }
    }
}
