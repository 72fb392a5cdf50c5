package io.beryldock.nettyhttp;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpExchangeException.Kind;
import io.beryldock.nettyhttp.ResponseMatcher.Match;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * One connection of a client and the exchange on it.
 *
 * <p>Used on the client's event loop only. Invariants: at most one exchange at a time; a response is complete only if
 * its framing says so, and one without a length only if the connection ended by a close that is no reset; a response
 * ends the exchange only if {@link ResponseMatcher} takes it for that of the call.
 */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> implements LargeBodies.Reader {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LOG_INTERVAL_SECONDS = 10;

    private final HttpClient client;
    private final InetSocketAddress address;
    private final int maxBodyBytes;
    private final ResponseMatcher matcher = new ResponseMatcher();
    private ResponseMeter meter;
    private ChannelHandlerContext context;
    private HttpCall call;
    private CompletableFuture<HttpReply> reply;
    private HttpResponse head;
    private Headers headers;
    private boolean skipping;
    private ByteString body = ByteString.EMPTY;
    private boolean broken;
    private long idleSince;
    private long openedAt;

    HttpClientConnection(HttpClient client, InetSocketAddress address, int maxBodyBytes) {
        this.client = client;
        this.address = address;
        this.maxBodyBytes = maxBodyBytes;
    }

    InetSocketAddress address() {
        return address;
    }

    long idleSince() {
        return idleSince;
    }

    /** Whether the response to the call could be told apart from late copies of earlier responses. */
    boolean canSend(HttpCall next) {
        return matcher.canSend(next);
    }

    long openedAt() {
        return openedAt;
    }

    void close() {
        context.close();
    }

    /**
     * A decoder that knows that the answer to HEAD has no body, whatever length it names, and reports the bytes that it
     * receives, of which it may make no message.
     */
    HttpResponseDecoder newDecoder() {
        return new HttpResponseDecoder() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object received) throws Exception {
                if (received instanceof ByteBuf bytes && !acceptsBytes(bytes.readableBytes())) {
                    bytes.release();
                    return;
                }
                super.channelRead(ctx, received);
                afterDecoding(actualReadableBytes());
            }

            @Override
            protected boolean isContentAlwaysEmpty(HttpMessage message) {
                boolean head = call != null && "HEAD".equals(call.method());
                return head || super.isContentAlwaysEmpty(message);
            }
        };
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    void exchange(HttpCall next, CompletableFuture<HttpReply> future) {
        call = next;
        reply = future;
        meter = new ResponseMeter(maxBodyBytes);
        future.whenComplete((done, failure) -> {
            if (future.isCancelled()) {
                context.executor().execute(() -> abandon(future));
            }
        });
        if (future.isDone()) {
            context.close();
            return;
        }
        context.writeAndFlush(message(next)).addListener(written -> {
            if (!written.isSuccess()) {
                fail(Kind.LOST, "the request could not be written: " + written.cause());
            }
        });
    }

    private FullHttpRequest message(HttpCall next) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(next.method()),
                next.uri(),
                Unpooled.wrappedBuffer(next.body().asReadOnlyByteBuffer()));
        next.headers().list().forEach(header -> request.headers().add(header.name(), header.value()));
        boolean mayHaveBody = !next.body().isEmpty() || !"GET".equals(next.method());
        if (mayHaveBody) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, next.body().size());
        }
        return request;
    }

    /** Whoever waited has gone: the server is told by the close of the connection. */
    private void abandon(CompletableFuture<HttpReply> future) {
        if (reply == future) {
            endExchange();
            context.close();
        }
    }

    /** Whether the bytes may belong to an exchange; closes the connection otherwise. */
    private boolean acceptsBytes(int bytes) {
        if (reply == null) {
            closeUnusable();
            return false;
        }
        meter.onReceived(bytes);
        return true;
    }

    /** Checks the bounds when everything that was received so far has been decoded as far as possible. */
    private void afterDecoding(int undecodedBytes) {
        if (reply != null) {
            meter.framingViolation(undecodedBytes).ifPresent(bound -> fail(Kind.LOST, bound));
        } else if (undecodedBytes > 0) {
            closeUnusable();
        }
    }

    /** Closes a connection on which bytes arrived that answer nothing: what follows can't be trusted either. */
    private void closeUnusable() {
        if (client.forget(this)) {
            log.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "closed a connection to %s: bytes arrived that belong to no response", address);
        }
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (reply == null) {
            closeUnusable();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(
                    Kind.LOST,
                    "the response is malformed: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            begin(response);
        }
        if (reply != null && message instanceof HttpContent content) {
            add(content.content());
            if (reply != null && message instanceof LastHttpContent) {
                end();
            }
        }
    }

    private void begin(HttpResponse response) {
        head = response;
        body = ByteString.EMPTY;
        if (response.status().code() < FIRST_FINAL_STATUS) {
            skip();
            return;
        }
        headers = HttpMessages.headers(response.headers());
        Match match = matcher.match(call, headers);
        skipping = false;
        if (match == Match.FOREIGN) {
            skip();
            log.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "skipped a response %d of %s that belongs to another call",
                    response.status().code(), address);
        } else if (match == Match.AMBIGUOUS) {
            fail(Kind.LOST, "the response " + response.status().code() + " names no call and may be a late copy");
        }
    }

    private void skip() {
        skipping = true;
        meter.onSkippedResponse();
    }

    private void add(ByteBuf content) {
        int bytes = content.readableBytes();
        if (skipping) {
            meter.onSkippedContent(bytes);
        } else {
            meter.onBody(bytes);
        }
        Optional<String> violation = meter.contentViolation();
        if (violation.isPresent()) {
            fail(Kind.LOST, violation.get());
        } else if (!skipping && bytes > 0) {
            body = body.concat(ByteString.copyFrom(content.nioBuffer()));
            if (body.size() > LargeBodies.SMALL_BYTES) {
                client.largeBodies().enter(this);
            }
        }
    }

    @Override
    public void pause() {
        context.channel().config().setAutoRead(false);
    }

    @Override
    public void resume() {
        context.channel().config().setAutoRead(true);
    }

    private void end() {
        if (skipping) {
            return;
        }
        if (broken) {
            fail(Kind.LOST, "the connection was reset within the response");
            return;
        }
        HttpReply whole = new HttpReply(head.status().code(), headers, body);
        matcher.onEnd(call, whole.status());
        boolean reusable = HttpUtil.isKeepAlive(head) && isSelfDelimited() && matcher.isReusable();
        CompletableFuture<HttpReply> waiting = endExchange();
        if (reusable) {
            idleSince = System.nanoTime();
            client.release(this);
        } else {
            context.close();
        }
        waiting.complete(whole);
    }

    private boolean isSelfDelimited() {
        return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
    }

    /** Forgets the exchange; returns the future of its reply, or null if there is none. */
    private CompletableFuture<HttpReply> endExchange() {
        CompletableFuture<HttpReply> waiting = reply;
        reply = null;
        call = null;
        body = ByteString.EMPTY;
        client.largeBodies().leave(this);
        return waiting;
    }

    private void fail(Kind kind, String detail) {
        CompletableFuture<HttpReply> waiting = endExchange();
        client.forget(this);
        context.close();
        if (waiting != null) {
            waiting.completeExceptionally(new HttpExchangeException(kind, detail));
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        openedAt = System.nanoTime();
        client.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        client.closed(this);
        fail(Kind.LOST, "the connection was closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        if (!(cause instanceof IOException)) {
            log.atSevere().withCause(cause).log("the exchange with %s failed", address);
        }
        String what = cause instanceof IOException ? "the connection was lost: " : "the exchange failed: ";
        fail(Kind.LOST, what + cause.getMessage());
    }
}
