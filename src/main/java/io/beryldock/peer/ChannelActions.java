package io.beryldock.peer;

import io.beryldock.wire.Frame;
import io.netty.channel.Channel;

/** Writes to and closes channels whose failures show as the loss of the connection. Stateless. */
final class ChannelActions {

    private ChannelActions() {}

    /** Writes and flushes; a failed write goes to the pipeline's {@code exceptionCaught}. */
    static void write(Channel channel, Frame frame) {
        var unused = channel.writeAndFlush(frame, channel.voidPromise());
    }

    /** Closes; the pipeline's {@code channelInactive} follows. */
    static void close(Channel channel) {
        var unused = channel.close();
    }
}
