package io.beryldock.nettyhttp;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * One request of a client and the place of its answer.
 *
 * <p>Thread safe. Only the first answer counts. The task given to {@link #onGone} runs when the client leaves before
 * the answer was written, at once if it has left already.
 */
public final class HttpExchange {

    private final String method;
    private final String uri;
    private final Headers headers;
    private final ByteString body;
    private final InetSocketAddress remote;
    private final Consumer<HttpExchange> answered;
    private HttpAnswer answer;
    private Runnable goneTask;
    private boolean gone;

    HttpExchange(
            String method,
            String uri,
            Headers headers,
            ByteString body,
            InetSocketAddress remote,
            Consumer<HttpExchange> answered) {
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.remote = remote;
        this.answered = answered;
    }

    public String method() {
        return method;
    }

    /** Path and query as the client sent them. */
    public String uri() {
        return uri;
    }

    public Headers headers() {
        return headers;
    }

    public ByteString body() {
        return body;
    }

    /** Where the client's end of the connection is. */
    public InetSocketAddress remote() {
        return remote;
    }

    public void answer(HttpAnswer given) {
        synchronized (this) {
            if (answer != null) {
                return;
            }
            answer = given;
            goneTask = null;
        }
        answered.accept(this);
    }

    public void onGone(Runnable task) {
        synchronized (this) {
            if (!gone) {
                goneTask = answer == null ? task : null;
                return;
            }
        }
        task.run();
    }

    synchronized HttpAnswer given() {
        return answer;
    }

    void leave() {
        Runnable task;
        synchronized (this) {
            gone = true;
            task = goneTask;
            goneTask = null;
        }
        if (task != null) {
            task.run();
        }
    }
}
