package io.beryldock.peer;

import com.google.protobuf.CodedInputStream;
import io.beryldock.wire.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Reads frames, each behind its length in four bytes; a longer one than the bound fails the connection.
 *
 * <p>Bytes of a frame that is still incomplete are reported too: a large frame on a slow way is progress.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

    private final PeerCounters counters;
    private final Runnable onBytes;

    FrameDecoder(int maxFrameBytes, PeerCounters counters, Runnable onBytes) {
        super(maxFrameBytes + FrameEncoder.LENGTH_BYTES, 0, FrameEncoder.LENGTH_BYTES, 0, FrameEncoder.LENGTH_BYTES);
        this.counters = counters;
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        onBytes.run();
        super.channelRead(ctx, bytes);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        ByteBuf frame = (ByteBuf) super.decode(ctx, in);
        if (frame == null) {
            return null;
        }
        try {
            counters.read(frame.readableBytes() + FrameEncoder.LENGTH_BYTES);
            return Frame.parseFrom(CodedInputStream.newInstance(frame.nioBuffer()));
        } finally {
            frame.release();
        }
    }
}
