package io.beryldock.peer;

import com.google.protobuf.CodedInputStream;
import io.beryldock.wire.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Decodes frames with a four-byte length prefix; a frame longer than the limit fails the connection.
 *
 * <p>Bytes of an incomplete frame are reported to {@code onBytes} too, because a large frame that arrives over a slow
 * link is progress.
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
            counters.frameRead(frame.readableBytes() + FrameEncoder.LENGTH_BYTES);
            return Frame.parseFrom(CodedInputStream.newInstance(frame.nioBuffer()));
        } finally {
            frame.release();
        }
    }
}
