package io.beryldock.store;

import com.google.common.net.UrlEscapers;
import com.google.protobuf.ByteString;
import io.beryldock.httpclient.PlainHttpClientOptions;
import io.beryldock.httpclient.PlainHttpClients;
import io.beryldock.time.TimerService;
import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.io.CloseMode;

/**
 * Client of the platform store over HTTP, in the protocol of docs/PLATFORM-PROTOCOL.md.
 *
 * <p>Thread safe; never blocks its caller. A write is {@link WriteResult.Kind#NOT_APPLIED} only if the request was
 * never sent because there was no connection, or if the store reports that it did not apply the write. After any other
 * failure the write may have taken effect, so it is {@link WriteResult.Kind#UNKNOWN}. No request is ever sent twice.
 */
public final class HttpPlatformStore implements PlatformStore, AutoCloseable {

    private static final int IO_THREADS = 1;
    private static final int MAX_CONNECTIONS = 64;
    private static final String REMEDY = "; go on with what is known and ask again later";

    private final String baseUrl;
    private final Duration timeout;
    private final TimerService timers;
    private final CloseableHttpAsyncClient client;

    private HttpPlatformStore(String baseUrl, Duration timeout, TimerService timers, CloseableHttpAsyncClient client) {
        this.baseUrl = baseUrl;
        this.timeout = timeout;
        this.timers = timers;
        this.client = client;
    }

    /** Starts a client of the store at the address, for example {@code http://127.0.0.1:7000}; the caller closes it. */
    public static HttpPlatformStore start(URI address, Duration timeout, TimerService timers) {
        PlainHttpClientOptions options = PlainHttpClientOptions.of(IO_THREADS, MAX_CONNECTIONS, MAX_CONNECTIONS)
                .withConnectionWait(timeout)
                .withAnswerTimeout(Duration.ZERO);
        String baseUrl = address.toString().replaceAll("/+$", "");
        return new HttpPlatformStore(baseUrl, timeout, timers, PlainHttpClients.start(options));
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return read(SimpleRequestBuilder.get(baseUrl + keyPath(key)).build(), timeout, HttpPlatformStore::value);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        SimpleHttpRequest request = SimpleRequestBuilder.put(baseUrl + keyPath(key) + "?expected=" + expectedVersion)
                .setBody(value.toByteArray(), ContentType.APPLICATION_OCTET_STREAM)
                .build();
        return exchange(request, timeout).handle(HttpPlatformStore::toWriteResult);
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        String query =
                "?holder=" + UrlEscapers.urlFormParameterEscaper().escape(holder) + "&millis=" + length.toMillis();
        SimpleHttpRequest request = SimpleRequestBuilder.post(baseUrl + PlatformProtocol.LEASES + path(name) + query)
                .build();
        return read(request, timeout, HttpPlatformStore::held);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        String query = "?after=" + afterVersion + "&wait=" + wait.toMillis();
        SimpleHttpRequest request =
                SimpleRequestBuilder.get(baseUrl + keyPath(key) + query).build();
        return read(request, wait.plus(timeout), HttpPlatformStore::value);
    }

    @Override
    public void close() {
        client.close(CloseMode.IMMEDIATE);
    }

    private static String keyPath(String key) {
        return PlatformProtocol.VALUES + path(key);
    }

    private static String path(String name) {
        return UrlEscapers.urlPathSegmentEscaper().escape(name).replace("%2F", "/");
    }

    private <T> CompletableFuture<T> read(SimpleHttpRequest request, Duration timeLimit, AnswerReader<T> reader) {
        CompletableFuture<T> result = new CompletableFuture<>();
        var unused = exchange(request, timeLimit).whenComplete((response, failure) -> {
            try {
                if (failure != null) {
                    throw new PlatformException("no answer from the platform store" + REMEDY, failure);
                }
                result.complete(reader.read(response));
            } catch (PlatformException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /**
     * Sends the request once; the future fails with the error of the HTTP client, or when the time limit is reached.
     */
    private CompletableFuture<SimpleHttpResponse> exchange(SimpleHttpRequest request, Duration timeLimit) {
        CompletableFuture<SimpleHttpResponse> answer = new CompletableFuture<>();
        Future<SimpleHttpResponse> sent = client.execute(request, new Completion(answer));
        TimerService.Subscription timeoutTimer = timers.after(timeLimit, () -> {
            // Fails the future before cancelling the exchange: the request may already have left this process, so the
            // write must be reported as unknown rather than as not applied.
            answer.completeExceptionally(new PlatformException("no answer in " + timeLimit + REMEDY));
            sent.cancel(true);
        });
        var unused = answer.whenComplete((response, failure) -> timeoutTimer.cancel());
        return answer;
    }

    private static WriteResult toWriteResult(SimpleHttpResponse response, Throwable failure) {
        if (failure != null) {
            return neverSent(failure) ? WriteResult.notApplied() : WriteResult.unknown();
        }
        return switch (response.getCode()) {
            case PlatformProtocol.OK ->
                version(response).map(WriteResult::applied).orElseGet(WriteResult::unknown);
            case PlatformProtocol.CONFLICT ->
                version(response)
                        .map(version -> WriteResult.conflict(stored(response, version)))
                        .orElseGet(WriteResult::unknown);
            default -> refused(response) ? WriteResult.notApplied() : WriteResult.unknown();
        };
    }

    /** Whether the failure proves that no byte of the request was sent, so that it can't have taken effect. */
    private static boolean neverSent(Throwable failure) {
        return failure instanceof ConnectException
                || failure instanceof ConnectTimeoutException
                || failure instanceof UnknownHostException
                || failure instanceof ConnectionRequestTimeoutException;
    }

    private static boolean refused(SimpleHttpResponse response) {
        return response.getCode() == PlatformProtocol.TOO_LARGE
                || response.getFirstHeader(PlatformProtocol.NOT_APPLIED_HEADER) != null;
    }

    private static Optional<StoredValue> value(SimpleHttpResponse response) throws PlatformException {
        int code = response.getCode();
        if (code == PlatformProtocol.NOT_FOUND || code == PlatformProtocol.NOTHING_NEW) {
            return Optional.empty();
        }
        Optional<Long> version = code == PlatformProtocol.OK ? version(response) : Optional.empty();
        return stored(response, version.orElseThrow(() -> unusable(response)));
    }

    private static boolean held(SimpleHttpResponse response) throws PlatformException {
        int code = response.getCode();
        if (code != PlatformProtocol.OK && code != PlatformProtocol.CONFLICT) {
            throw unusable(response);
        }
        return code == PlatformProtocol.OK;
    }

    private static PlatformException unusable(SimpleHttpResponse response) {
        return new PlatformException("the platform store answered " + response.getCode() + REMEDY);
    }

    private static Optional<StoredValue> stored(SimpleHttpResponse response, long version) {
        if (version == ABSENT) {
            return Optional.empty();
        }
        byte[] body = response.getBodyBytes();
        return Optional.of(new StoredValue(version, body == null ? ByteString.EMPTY : ByteString.copyFrom(body)));
    }

    private static Optional<Long> version(SimpleHttpResponse response) {
        Header header = response.getFirstHeader(PlatformProtocol.VERSION_HEADER);
        try {
            return Optional.ofNullable(header).map(Header::getValue).map(Long::valueOf);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @FunctionalInterface
    private interface AnswerReader<T> {
        T read(SimpleHttpResponse response) throws PlatformException;
    }

    private record Completion(CompletableFuture<SimpleHttpResponse> answer)
            implements FutureCallback<SimpleHttpResponse> {

        @Override
        public void completed(SimpleHttpResponse response) {
            answer.complete(response);
        }

        @Override
        public void failed(Exception failure) {
            answer.completeExceptionally(failure);
        }

        @Override
        public void cancelled() {
            answer.completeExceptionally(
                    new PlatformException("the call of the platform store was cancelled" + REMEDY));
        }
    }
}
