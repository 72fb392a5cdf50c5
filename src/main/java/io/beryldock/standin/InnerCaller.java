package io.beryldock.standin;

import io.beryldock.forwarding.ContextHeader;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.Header;

/**
 * Makes the inner calls of a target through the loopback listener of its node, with the outer call's context.
 *
 * <p>Thread safe. Each call is sent once; repeating it is the node's business.
 */
final class InnerCaller {

    private static final String OUTCOME_HEADER = "Beryldock-Outcome";
    private static final int NO_STATUS = 0;

    private final CloseableHttpAsyncClient client;
    private final String node;

    private InnerCaller(CloseableHttpAsyncClient client, String node) {
        this.client = client;
        this.node = node;
    }

    static InnerCaller create(CloseableHttpAsyncClient client, String node) {
        return new InnerCaller(client, node);
    }

    /** Sends the call; the answer's future never fails. */
    Pending send(String method, String pathAndQuery, Optional<String> context) {
        SimpleHttpRequest request =
                SimpleRequestBuilder.create(method).setUri(node + pathAndQuery).build();
        context.ifPresent(text -> request.setHeader(ContextHeader.NAME, text));
        CompletableFuture<InnerAnswer> answer = new CompletableFuture<>();
        try {
            Future<SimpleHttpResponse> exchange = client.execute(request, new Completion(answer));
            return new Pending(answer, exchange);
        } catch (IllegalStateException e) {
            answer.complete(new InnerAnswer(NO_STATUS, "", e.toString()));
            return new Pending(answer, CompletableFuture.completedFuture(null));
        }
    }

    /** A call under way. */
    record Pending(CompletableFuture<InnerAnswer> answer, Future<SimpleHttpResponse> exchange) {

        void cancel() {
            exchange.cancel(true);
        }
    }

    /**
     * What an inner call gave. Immutable.
     *
     * @param status 0 when no answer came
     * @param outcome as the node told it
     */
    record InnerAnswer(int status, String outcome, String body) {

        private static final int OK = 200;

        boolean isGood() {
            return status == OK;
        }
    }

    private record Completion(CompletableFuture<InnerAnswer> answer) implements FutureCallback<SimpleHttpResponse> {

        @Override
        public void completed(SimpleHttpResponse response) {
            Header outcome = response.getFirstHeader(OUTCOME_HEADER);
            String body = response.getBodyText();
            answer.complete(new InnerAnswer(
                    response.getCode(), outcome == null ? "" : outcome.getValue(), body == null ? "" : body));
        }

        @Override
        public void failed(Exception failure) {
            answer.complete(new InnerAnswer(NO_STATUS, "", failure.toString()));
        }

        @Override
        public void cancelled() {
            answer.complete(new InnerAnswer(NO_STATUS, "", "cancelled"));
        }
    }
}
