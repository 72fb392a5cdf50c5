package io.beryldock.peer;

import io.beryldock.wire.Frame;
import io.beryldock.wire.Ping;
import io.beryldock.wire.Pong;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;

/** Writes to and closes channels whose failures show as the loss of the connection. Stateless. */
final class ChannelActions {

    private static final int NO_LINGER = 0;

    private ChannelActions() {}

    /** Writes and flushes; a failed write goes to the pipeline's {@code exceptionCaught}. */
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

    /** Closes after what has been written so far. */
    static void close(Channel channel) {
        var unused = channel.close();
    }

    /**
     * Closes at once and has the kernel throw away what it has not sent.
     *
     * <p>Guards against two failures of a connection that stopped: TLS would wait for the socket to take its closing
     * message, and the kernel would go on trying to deliver requests whose callers have long been told that they are
     * lost. Closing below TLS with no linger time ends both.
     */
    static void abort(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER);
        }
        ChannelHandlerContext lowest = channel.pipeline().firstContext();
        var unused = lowest == null ? channel.close() : lowest.close();
    }
}
