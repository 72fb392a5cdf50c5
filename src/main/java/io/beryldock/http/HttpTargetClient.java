package io.beryldock.http;

import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.Headers;
import io.beryldock.forwarding.ContextHeader;
import io.beryldock.forwarding.TargetClient;
import io.beryldock.forwarding.TargetExchange;
import io.beryldock.forwarding.TargetReply;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.HttpHostConnectException;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestProducer;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.net.URIAuthority;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends calls to the target over HTTP, without ever resending a call.
 *
 * <p>Thread safe. Automatic retries, redirects, cookies, authentication state and decompression are disabled: if the
 * library silently resent a request after a stale pooled connection failed, the request could run twice, and with a
 * shared cookie store a caller could receive another caller's answer.
 */
public final class HttpTargetClient implements TargetClient {

    private static final Timeout CONNECTION_REQUEST_TIMEOUT = Timeout.ofSeconds(1);
    private static final Timeout KEYED_CALL_TIMEOUT = Timeout.ofSeconds(60);
    private static final TargetNoticeReader NOTICES =
            TargetNoticeReader.create(BeryldockHeaders.RATE_LIMIT, BeryldockHeaders.LEAVING);

    private final CloseableHttpAsyncClient client;
    private final Supplier<InetSocketAddress> target;
    private final int maxBodyBytes;

    private HttpTargetClient(CloseableHttpAsyncClient client, Supplier<InetSocketAddress> target, int maxBodyBytes) {
        this.client = client;
        this.target = target;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Creates a client that sends each call to the address that the supplier returns, as announced by the target.
     *
     * @param maxBodyBytes largest body of a response; a call with a larger one ends as lost
     */
    public static HttpTargetClient create(
            CloseableHttpAsyncClient client, Supplier<InetSocketAddress> target, int maxBodyBytes) {
        return new HttpTargetClient(client, target, maxBodyBytes);
    }

    @Override
    public TargetExchange send(Call call, BooleanSupplier sendable) {
        CompletableFuture<TargetReply> reply = new CompletableFuture<>();
        try {
            client.execute(
                    new WithdrawableRequestProducer(SimpleRequestProducer.create(request(call)), sendable),
                    new BoundedResponseConsumer(maxBodyBytes),
                    new ReplyCallback(reply));
        } catch (IllegalStateException | IllegalArgumentException e) {
            reply.complete(TargetReply.notSent("the request can't be sent: " + e.getMessage()));
        }
        return TargetExchange.unabortable(reply);
    }

    private SimpleHttpRequest request(Call call) {
        InetSocketAddress address = target.get();
        SimpleHttpRequest request = new SimpleHttpRequest(call.method(), "http", authority(address), call.path());
        call.headers().list().forEach(header -> request.addHeader(header.name(), header.value()));
        request.setHeader(
                ContextHeader.NAME, ContextHeader.of(call.id(), call.context()).toString());
        if (!call.body().isEmpty()) {
            request.setBody(call.body().toByteArray(), contentType(call.headers()));
        }
        request.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(CONNECTION_REQUEST_TIMEOUT)
                .setResponseTimeout(responseTimeout(call))
                .setRedirectsEnabled(false)
                .setAuthenticationEnabled(false)
                .build());
        return request;
    }

    /**
     * Returns the longest time without received bytes before the exchange is given up.
     *
     * <p>Guards against connections that stay silent permanently: each of them would occupy a slot and stay in the pool
     * for the next request. The symptom is an exchange that lasts far beyond the deadline of its call. A call with an
     * idempotency key or ticket has a longer timeout, because a late answer still resolves its unknown outcome.
     */
    private static Timeout responseTimeout(Call call) {
        if (call.key().isPresent()) {
            return KEYED_CALL_TIMEOUT;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(call.context().remainingNanos());
        return Timeout.ofMilliseconds(millis + LATE.toMillis());
    }

    private static URIAuthority authority(InetSocketAddress address) {
        return new URIAuthority(address.getHostString(), address.getPort());
    }

    private static ContentType contentType(Headers headers) {
        return headers.first("Content-Type").map(ContentType::parseLenient).orElse(ContentType.DEFAULT_BINARY);
    }

    private static TargetReply read(SimpleHttpResponse response) {
        Headers headers = Headers.of(Arrays.stream(response.getHeaders())
                .map(header -> new Headers.Header(header.getName(), header.getValue()))
                .toList());
        return decode(response, headers).withNotice(NOTICES.read(headers));
    }

    private static TargetReply decode(SimpleHttpResponse response, Headers headers) {
        if (headers.first(BeryldockHeaders.REFUSED)
                .filter(BeryldockHeaders.NOT_RUN::equals)
                .isPresent()) {
            return TargetReply.refused("the target answered " + response.getCode() + " with its refusal marker");
        }
        byte[] body = response.getBodyBytes();
        ByteString bytes = body == null ? ByteString.EMPTY : ByteString.copyFrom(body);
        return TargetReply.answered(new Answer(response.getCode(), HeaderFilter.endToEnd(headers), bytes));
    }

    /**
     * Maps a failure to a reply that distinguishes a request that was not sent from a request that may have run.
     *
     * <p>Only a failure before a connection was leased, and a withdrawal, prove that no byte was sent. After any other
     * failure the request may have run.
     */
    private static TargetReply classify(Exception e) {
        boolean neverSent = e instanceof HttpHostConnectException
                || e instanceof ConnectTimeoutException
                || e instanceof ConnectionRequestTimeoutException
                || e instanceof ConnectException
                || e instanceof WithdrawnRequestException;
        String detail = e.getClass().getSimpleName() + ": " + e.getMessage();
        if (neverSent) {
            return TargetReply.notSent(detail);
        }
        return e instanceof SocketTimeoutException ? TargetReply.givenUp(detail) : TargetReply.lost(detail);
    }

    /** Completes the reply when the HTTP client reports the end of the exchange. */
    private record ReplyCallback(CompletableFuture<TargetReply> reply) implements FutureCallback<SimpleHttpResponse> {

        @Override
        public void completed(SimpleHttpResponse response) {
            reply.complete(read(response));
        }

        @Override
        public void failed(Exception e) {
            reply.complete(classify(e));
        }

        @Override
        public void cancelled() {
            reply.complete(TargetReply.givenUp("the exchange was cancelled"));
        }
    }
}
