package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Writes a piece of text over and over until the peer closes the connection.
 *
 * <p>Confined to the event loop of the connection. Invariant: a piece is written when the one before has left for the
 * socket, so that a peer that does not read holds the response up.
 */
final class SoakEndlessResponse {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A test does not go on for ever against a peer that does. */
    private static final long MAX_BYTES = 64L << 20;

    private final Channel channel;
    private final byte[] piece;
    private final Duration pause;
    private final LongConsumer onEnd;
    private long written;

    private SoakEndlessResponse(Channel channel, String piece, Duration pause, LongConsumer onEnd) {
        this.channel = channel;
        this.piece = piece.getBytes(StandardCharsets.ISO_8859_1);
        this.pause = pause;
        this.onEnd = onEnd;
    }

    /**
     * Starts the response.
     *
     * @param pause between the pieces, zero for none
     * @param onEnd accepts the number of bytes written when the connection has ended
     */
    static void start(Channel channel, String piece, Duration pause, LongConsumer onEnd) {
        new SoakEndlessResponse(channel, piece, pause, onEnd).writeNext();
    }

    private void writeNext() {
        channel.writeAndFlush(Unpooled.wrappedBuffer(piece)).addListener(sent -> {
            if (!sent.isSuccess()) {
                log.atFine().withCause(sent.cause()).log("the peer has closed the connection after %d bytes", written);
                end();
                return;
            }
            written += piece.length;
            if (written >= MAX_BYTES) {
                end();
            } else {
                channel.eventLoop().schedule(this::writeNext, pause.toNanos(), TimeUnit.NANOSECONDS);
            }
        });
    }

    private void end() {
        channel.close();
        onEnd.accept(written);
    }
}
