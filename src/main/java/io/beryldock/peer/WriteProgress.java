package io.beryldock.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Tracks whether the socket of a channel accepts queued bytes. Confined to the channel's event loop. */
final class WriteProgress {

    private final Channel channel;
    private int headMessage;
    private long headWritten;
    private long pendingBytes;
    private boolean changed;

    WriteProgress(Channel channel) {
        this.channel = channel;
    }

    /** Compares the head of the outbound buffer with its state at the previous update. */
    void update() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        int message = buffer == null ? 0 : System.identityHashCode(buffer.current());
        long written = buffer == null ? 0 : buffer.currentProgress();
        changed = message != headMessage || written != headWritten;
        headMessage = message;
        headWritten = written;
        pendingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Whether bytes were queued for the socket at the last update. */
    boolean hasPendingBytes() {
        return pendingBytes > 0;
    }

    /** Whether the socket accepted some bytes between the last two updates. */
    boolean progressed() {
        return changed;
    }
}
