package io.beryldock.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.health.HealthCheck;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.CallResult;
import io.beryldock.call.Incarnation;
import io.beryldock.call.RequestId;
import io.beryldock.forwarding.RequestOutcome;
import io.beryldock.settings.NodeSettings;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ForwardResourceTest {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final String LOOPBACK = "127.0.0.1";

    /** Result that the request handler returns; null causes a failure when the response is written. */
    private final CallResult result = null;

    private NodeHttpServer server;

    @BeforeEach
    void start() throws ServerStartException {
        RequestId id = new RequestId(new Incarnation(1, 1), 1);
        HealthCheck healthy = new HealthCheck() {
            @Override
            protected Result check() {
                return Result.healthy();
            }
        };
        server = NodeHttpServer.start(
                settings(),
                new HttpHandlers(
                        (request, scope) -> CompletableFuture.completedFuture(new RequestOutcome(id, result)),
                        announcement -> {},
                        () -> CompletableFuture.completedFuture(Optional.empty()),
                        healthy,
                        ImmutableMap.of()));
    }

    private static NodeSettings settings() {
        NodeSettings.Listener free = new NodeSettings.Listener(LOOPBACK, 0);
        return new NodeSettings(
                "node-a",
                "gent-a",
                "vandermeulen",
                free,
                free,
                new NodeSettings.Peers(LOOPBACK, 0, null, true),
                new NodeSettings.Admin(LOOPBACK, 0, null),
                ImmutableList.of(),
                null,
                NodeSettings.Policy.FULL,
                NodeSettings.Limits.defaults());
    }

    @AfterEach
    void close() {
        server.close();
    }

    private HttpResponse<String> sendRequest() throws Exception {
        URI uri =
                URI.create("http://" + LOOPBACK + ":" + server.callersAddress().getPort() + "/lists/1");
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).build();
        return HttpClient.newHttpClient().send(request, BodyHandlers.ofString());
    }

    /** Guards against a caller that waits indefinitely because writing its response failed. */
    @Test
    void respondsWithOutcomeUnknownIfResultCannotBeWritten() throws Exception {
        HttpResponse<String> response = sendRequest();
        assertThat(response.statusCode()).isEqualTo(500);
        assertThat(response.headers().firstValue("Beryldock-Outcome")).contains("UNKNOWN");
    }
}
