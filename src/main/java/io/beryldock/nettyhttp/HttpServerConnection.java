package io.beryldock.nettyhttp;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection: reads requests, writes their answers in the order of the requests.
 *
 * <p>Used on its event loop only. Invariants: at most {@link #MAX_PIPELINED} requests wait for answers, more are not
 * read; nothing is read as a request after one that is answered with a close.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Requests of one connection under way at once; bounds what a client that never reads can hold here. */
    private static final int MAX_PIPELINED = 32;

    /** How long bytes are still read after the last answer: closing before would reset it away from the client. */
    private static final long LINGER_MILLIS = 500;

    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;

    private final HttpServerLimits limits;
    private final HttpHandler handler;
    private final Deque<HttpExchange> pending = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteString body = ByteString.EMPTY;
    private boolean lastRead;
    private long changedAt = System.nanoTime();
    private Future<?> idleTimer;

    HttpServerConnection(HttpServerLimits limits, HttpHandler handler) {
        this.limits = limits;
        this.handler = handler;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        watchIdle();
    }

    /** One timer a connection: it looks when something may be overdue, and is moved forward by a new request. */
    private void watchIdle() {
        if (!context.channel().isActive() || lastRead) {
            return;
        }
        long limit = head == null
                ? limits.idleTimeout().toNanos()
                : limits.requestTimeout().toNanos();
        boolean waiting = head == null && !pending.isEmpty();
        long left = waiting ? limit : changedAt + limit - System.nanoTime();
        if (left <= 0) {
            expire();
            return;
        }
        idleTimer = context.executor().schedule(this::watchIdle, left, TimeUnit.NANOSECONDS);
    }

    private void expire() {
        if (head == null) {
            context.close();
        } else {
            refuse(REQUEST_TIMEOUT);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (lastRead) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            boolean tooLong = message.decoderResult().cause() instanceof TooLongFrameException;
            refuse(tooLong ? HEADERS_TOO_LARGE : BAD_REQUEST);
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        if (message instanceof HttpContent content && head != null) {
            add(content);
        }
    }

    private void begin(HttpRequest request) {
        changedAt = System.nanoTime();
        head = request;
        body = ByteString.EMPTY;
        idleTimer.cancel(false);
        watchIdle();
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuse(TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void add(HttpContent content) {
        if (content.content().isReadable()) {
            body = body.concat(ByteString.copyFrom(content.content().nioBuffer()));
        }
        if (body.size() > limits.maxBodyBytes()) {
            refuse(TOO_LARGE);
        } else if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void dispatch() {
        HttpRequest request = head;
        head = null;
        changedAt = System.nanoTime();
        lastRead = !HttpUtil.isKeepAlive(request);
        HttpExchange exchange = new HttpExchange(
                request.method().name(),
                request.uri(),
                HttpMessages.headers(request.headers()),
                body,
                (InetSocketAddress) context.channel().remoteAddress(),
                answered -> context.executor().execute(this::writeReady));
        body = ByteString.EMPTY;
        pending.add(exchange);
        if (pending.size() >= MAX_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
        handler.handle(exchange);
    }

    /** Answers a request that can't be taken; what follows on the connection can't be read. */
    private void refuse(int status) {
        head = null;
        body = ByteString.EMPTY;
        lastRead = true;
        HttpExchange refused =
                new HttpExchange("", "", Headers.empty(), ByteString.EMPTY, null, answered -> writeReady());
        pending.add(refused);
        refused.answer(HttpAnswer.of(status).closing());
    }

    /** An answer that can't be written leaves its client without any: the close tells him so. */
    private void writeReady() {
        try {
            writeAnswers();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("an answer could not be written; its connection is closed");
            context.close();
        }
    }

    private void writeAnswers() {
        boolean wrote = false;
        while (!pending.isEmpty()
                && pending.peek().given() != null
                && context.channel().isActive()) {
            HttpExchange next = pending.poll();
            wrote = true;
            if (write(next)) {
                finish();
                return;
            }
        }
        if (wrote) {
            changedAt = System.nanoTime();
            context.flush();
            if (!lastRead && pending.size() < MAX_PIPELINED) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    /** Writes the answer; tells whether it is the last one of the connection. */
    private boolean write(HttpExchange exchange) {
        HttpAnswer answer = exchange.given();
        boolean last = answer.close() || (lastRead && pending.isEmpty());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                Unpooled.wrappedBuffer(answer.body().asReadOnlyByteBuffer()));
        answer.headers().list().forEach(header -> response.headers().add(header.name(), header.value()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().size());
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.write(response);
        return last;
    }

    private void finish() {
        lastRead = true;
        leaveAll();
        context.channel().config().setAutoRead(true);
        context.flush();
        if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void leaveAll() {
        Deque<HttpExchange> left = new ArrayDeque<>(pending);
        pending.clear();
        left.forEach(HttpExchange::leave);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        idleTimer.cancel(false);
        leaveAll();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A client that resets its connection is usual; the close that follows cancels what it asked for.
        if (!(cause instanceof IOException)) {
            log.atSevere().withCause(cause).log("a connection of a client is closed: its handling failed");
        }
        ctx.close();
    }
}
