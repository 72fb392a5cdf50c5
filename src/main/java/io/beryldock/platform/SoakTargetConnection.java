package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpMessages;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** One connection to a soak target. Confined to its event loop. */
final class SoakTargetConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String ANOTHER_ID = "0000000000000000";
    private static final String BLANK_LINE = "\r\n";
    private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";
    private static final String NOT_HTTP = "\u0001\u0002 this is no response\r\n\r\n";
    private static final int PIECE_BYTES = 16 << 10;
    private static final int INTERIM_RESPONSES = 3;

    /** Two in three responses without end are written as fast as the peer reads, the others in small pieces. */
    private static final int PACES = 3;

    private static final Duration SLOW_PAUSE = Duration.ofMillis(20);
    private static final int SLOW_PIECE_BYTES = 200;

    private final Consumer<SoakExchange> handler;
    private final SoakTargetServer.EndlessListener endless;
    private String late = "";
    private int responses;

    SoakTargetConnection(Consumer<SoakExchange> handler, SoakTargetServer.EndlessListener endless) {
        this.handler = handler;
        this.endless = endless;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        write(ctx, late);
        late = "";
        ByteString body = ByteString.copyFrom(ByteBufUtil.getBytes(request.content()));
        handler.accept(new SoakExchange(
                request.method().name(),
                request.uri(),
                HttpMessages.headers(request.headers()),
                body,
                (answer, defect) -> ctx.executor().execute(() -> respond(ctx, answer, defect))));
    }

    private void respond(ChannelHandlerContext ctx, HttpAnswer answer, SoakDefect defect) {
        responses++;
        String sound = text(answer);
        switch (defect) {
            case NONE, WITHOUT_MARK -> write(ctx, sound);
            case COPIED_LATE -> writeAndKeep(ctx, sound, sound);
            case COPIED_LATE_TWICE -> writeAndKeep(ctx, sound, sound + sound);
            case COPIED_AT_ONCE -> write(ctx, sound + sound);
            case INTERIM_FIRST -> write(ctx, INTERIM.repeat(INTERIM_RESPONSES) + sound);
            case WITHOUT_ID -> write(ctx, text(without(answer, PlatformHeaders.REQUEST_ID)));
            case NOT_HTTP -> write(ctx, NOT_HTTP);
            case CUT_OFF -> {
                write(ctx, sound.substring(0, sound.length() - 1));
                ctx.close();
            }
            case RESET -> {
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                ctx.close();
            }
            case SILENT -> log.atFine().log("a request gets no response");
            default -> respondWithoutEnd(ctx, answer, defect);
        }
    }

    private void writeAndKeep(ChannelHandlerContext ctx, String response, String next) {
        write(ctx, response);
        late = next;
    }

    private void respondWithoutEnd(ChannelHandlerContext ctx, HttpAnswer answer, SoakDefect defect) {
        write(ctx, start(answer, defect));
        boolean slow = responses % PACES == 0;
        String unit = unit(defect);
        String piece = unit.repeat(Math.max(1, (slow ? SLOW_PIECE_BYTES : PIECE_BYTES) / unit.length()));
        LongConsumer onEnd = endless.began(defect);
        SoakEndlessResponse.start(ctx.channel(), piece, slow ? SLOW_PAUSE : Duration.ZERO, onEnd);
    }

    /** What comes before the part that is repeated. */
    private static String start(HttpAnswer answer, SoakDefect defect) {
        String open = head(answer);
        String chunked = open + "Transfer-Encoding: chunked\r\n\r\n";
        return switch (defect) {
            case ENDLESS_HEADERS -> open;
            case ENDLESS_HEADER_VALUE -> open + "X-Padding: ";
            case ENDLESS_BODY_TO_ANOTHER ->
                head(answer.with(PlatformHeaders.REQUEST_ID, ANOTHER_ID)) + "Transfer-Encoding: chunked\r\n\r\n";
            case ENDLESS_BODY, ENDLESS_TINY_CHUNKS -> chunked;
            case ENDLESS_BODY_WITHOUT_LENGTH -> open + BLANK_LINE;
            case ENDLESS_CHUNK_EXTENSION -> chunked + "10;";
            case ENDLESS_TRAILERS -> chunked + "0\r\n";
            case ENDLESS_BEHIND -> text(answer);
            default -> "";
        };
    }

    /** The part that is repeated. */
    private static String unit(SoakDefect defect) {
        return switch (defect) {
            case ENDLESS_BLANK_LINES -> BLANK_LINE;
            case ENDLESS_HEADERS, ENDLESS_TRAILERS -> "X-Padding: a\r\n";
            case ENDLESS_INTERIM_RESPONSES -> INTERIM;
            case ENDLESS_RESPONSES_TO_ANOTHER ->
                text(HttpAnswer.of(
                        HttpResponseStatus.OK.code(),
                        Headers.empty().with(PlatformHeaders.REQUEST_ID, ANOTHER_ID),
                        ByteString.EMPTY));
            case ENDLESS_BODY, ENDLESS_BODY_TO_ANOTHER -> "64\r\n" + "b".repeat(100) + "\r\n";
            case ENDLESS_TINY_CHUNKS -> "1\r\nb\r\n";
            default -> "b";
        };
    }

    private static HttpAnswer without(HttpAnswer answer, String header) {
        return HttpAnswer.of(answer.status(), answer.headers().without(header::equalsIgnoreCase), answer.body());
    }

    private static String text(HttpAnswer answer) {
        return head(answer) + "Content-Length: " + answer.body().size() + "\r\n\r\n"
                + answer.body().toString(StandardCharsets.ISO_8859_1);
    }

    /** The status line and the headers, without those that frame the body and without the blank line. */
    private static String head(HttpAnswer answer) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ")
                .append(HttpResponseStatus.valueOf(answer.status()))
                .append(BLANK_LINE);
        answer.headers()
                .list()
                .forEach(header -> head.append(header.name())
                        .append(": ")
                        .append(header.value())
                        .append(BLANK_LINE));
        return head.toString();
    }

    private static void write(ChannelHandlerContext ctx, String text) {
        if (!text.isEmpty()) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.atFine().withCause(cause).log("a connection to a soak target ended");
        ctx.close();
    }
}
