package io.beryldock.peer;

import com.google.protobuf.CodedOutputStream;
import io.beryldock.wire.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/** Encodes a frame with a four-byte length prefix directly into one buffer of the exact size. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {

    static final int LENGTH_BYTES = 4;

    private final PeerCounters counters;

    FrameEncoder(PeerCounters counters) {
        super(Frame.class);
        this.counters = counters;
    }

    @Override
    protected ByteBuf allocateBuffer(ChannelHandlerContext ctx, Frame frame, boolean preferDirect) {
        return ctx.alloc().ioBuffer(LENGTH_BYTES + frame.getSerializedSize());
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) throws Exception {
        int size = frame.getSerializedSize();
        out.writeInt(size);
        CodedOutputStream coded = CodedOutputStream.newInstance(out.nioBuffer(out.writerIndex(), size));
        frame.writeTo(coded);
        coded.flush();
        out.writerIndex(out.writerIndex() + size);
        counters.frameWritten(size + LENGTH_BYTES);
    }
}
