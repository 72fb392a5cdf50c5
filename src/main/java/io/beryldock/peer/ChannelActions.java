package io.beryldock.peer;

import io.beryldock.wire.Frame;
import io.beryldock.wire.Ping;
import io.beryldock.wire.Pong;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;

/**
 * Writes to and closes peer channels. A failed operation is not reported to the caller; it ends the connection.
 *
 * <p>Stateless.
 */
final class ChannelActions {

    private static final int NO_LINGER = 0;

    private ChannelActions() {}

    /** Writes and flushes a frame; a failed write is reported to the pipeline's {@code exceptionCaught}. */
    static void write(Channel channel, Frame frame) {
        var unused = channel.writeAndFlush(frame, channel.voidPromise());
    }

    static void ping(Channel channel, long number) {
        write(
                channel,
                Frame.newBuilder().setPing(Ping.newBuilder().setNumber(number)).build());
    }

    static void pong(Channel channel, long number) {
        write(
                channel,
                Frame.newBuilder().setPong(Pong.newBuilder().setNumber(number)).build());
    }

    /** Closes the channel after the frames written so far have been sent. */
    static void close(Channel channel) {
        var unused = channel.close();
    }

    /**
     * Closes the channel at once and makes the kernel discard unsent bytes.
     *
     * <p>An orderly close of a stalled connection has two problems: TLS waits until the socket accepts its
     * close_notify message, and the kernel keeps trying to deliver requests that have already been reported as lost to
     * their callers. Closing below the TLS handler with a linger time of zero avoids both.
     */
    static void abort(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER);
        }
        ChannelHandlerContext lowest = channel.pipeline().firstContext();
        var unused = lowest == null ? channel.close() : lowest.close();
    }
}
