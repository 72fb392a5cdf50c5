package io.beryldock.peer;

import com.google.protobuf.CodedInputStream;
import io.beryldock.wire.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Reads frames, each behind its length in four bytes; a longer one than the bound fails the connection. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

    private final PeerCounters counters;

    FrameDecoder(int maxFrameBytes, PeerCounters counters) {
        super(maxFrameBytes, 0, FrameEncoder.LENGTH_BYTES, 0, FrameEncoder.LENGTH_BYTES);
        this.counters = counters;
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
