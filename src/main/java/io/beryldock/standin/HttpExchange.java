package io.beryldock.standin;

import io.beryldock.http.HangupEndPoint;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.URIUtil;

/**
 * One request with its whole body, and the one answer to it.
 *
 * <p>Thread safe. Invariant: it is answered or cut off at most once; what comes after that is ignored.
 */
final class HttpExchange {

    private static final String JSON = "application/json";

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;
    private final Predicate<EndPoint> silenced;
    private final AtomicBoolean ended = new AtomicBoolean();

    HttpExchange(Request request, Response response, Callback callback, byte[] body, Predicate<EndPoint> silenced) {
        this.request = request;
        this.silenced = silenced;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    String method() {
        return request.getMethod();
    }

    /** The decoded path without the query. */
    String path() {
        return URIUtil.decodePath(request.getHttpURI().getPath());
    }

    /** The path and query as they came. */
    String pathAndQuery() {
        return request.getHttpURI().getPathQuery();
    }

    Optional<String> query(String name) {
        if (request.getHttpURI().getQuery() == null) {
            return Optional.empty();
        }
        Fields fields = Request.extractQueryParameters(request);
        return Optional.ofNullable(fields.getValue(name));
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    byte[] body() {
        return body;
    }

    /** Runs the task once when the other end closes the connection before the answer. */
    void onHangup(Runnable task) {
        if (endPoint() instanceof HangupEndPoint hangup) {
            hangup.watch(task);
        }
    }

    /** Whether the connection has gone silent, so that neither requests nor answers get through. */
    boolean isSilenced() {
        return silenced.test(endPoint());
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Puts a header into the answer to come. */
    HttpExchange with(String name, String value) {
        response.getHeaders().put(name, value);
        return this;
    }

    void answerJson(int status, String json) {
        answer(status, JSON, json);
    }

    void answer(int status, String contentType, String text) {
        answer(status, contentType, text.getBytes(StandardCharsets.UTF_8));
    }

    void answer(int status, String contentType, byte[] bytes) {
        if (isSilenced() || !ended.compareAndSet(false, true)) {
            return;
        }
        if (endPoint() instanceof HangupEndPoint hangup) {
            hangup.unwatch();
        }
        response.setStatus(status);
        if (bytes.length > 0) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    /** Cuts the connection without an answer. */
    void cutOff() {
        if (ended.compareAndSet(false, true)) {
            endPoint().close();
            callback.failed(new EofException("cut off by a fault"));
        }
    }
}
