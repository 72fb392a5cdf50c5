package io.beryldock.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Tells whether the socket of a channel takes the bytes that wait for it. Used on the channel's event loop. */
final class WriteProgress {

    private final Channel channel;
    private int firstMessage;
    private long firstWritten;
    private long pendingBytes;
    private boolean moved;

    WriteProgress(Channel channel) {
        this.channel = channel;
    }

    /** Compares with the last look. */
    void look() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        int message = buffer == null ? 0 : System.identityHashCode(buffer.current());
        long written = buffer == null ? 0 : buffer.currentProgress();
        moved = message != firstMessage || written != firstWritten;
        firstMessage = message;
        firstWritten = written;
        pendingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Bytes wait for the socket. */
    boolean writing() {
        return pendingBytes > 0;
    }

    /** The socket took some bytes between the last two looks. */
    boolean wroteSome() {
        return moved;
    }
}
