package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.CallerHash;
import io.beryldock.call.CallResult;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.forwarding.IncomingRequest;
import io.beryldock.forwarding.RequestOutcome;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class CallerEndpointTest {

    private static final HttpServerLimits LIMITS =
            new HttpServerLimits(1000, 100, Duration.ofSeconds(60), Duration.ofSeconds(60));

    private final EventLoops loops = EventLoops.create(1);
    private final List<IncomingRequest> received = new CopyOnWriteArrayList<>();
    private CallResult refusal = CallResult.notRun(Reason.SHED_AT_DOOR, "").withRetryAfterMillis(1_250);
    private HttpServer server;
    private Socket socket;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        CallerEndpoint endpoint = new CallerEndpoint(
                (request, scope) -> {
                    received.add(request);
                    return CompletableFuture.completedFuture(refusal());
                },
                "lists",
                () -> true,
                () -> false);
        server = HttpServer.bind(any, loops, () -> LIMITS, endpoint);
        socket = new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(10_000);
    }

    @AfterEach
    void stop() throws IOException {
        socket.close();
        server.close();
        loops.close();
    }

    private RequestOutcome refusal() {
        return new RequestOutcome(new RequestId(new Incarnation(1, 1), 1), refusal);
    }

    private String request(String id) throws IOException {
        return request(id, "");
    }

    private String request(String id, String extraHeaders) throws IOException {
        String text = "GET /a/ HTTP/1.1\r\nHost: a\r\nX-Beryldock-Request-Id: " + id + "\r\n" + extraHeaders + "\r\n";
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf("\r\n\r\n") < 0) {
            answer.append((char) socket.getInputStream().read());
        }
        int body = Integer.parseInt(answer.toString().replaceAll("(?s).*content-length: (\\d+).*", "$1"));
        socket.getInputStream().readNBytes(body);
        return answer.toString();
    }

    /**
     * Guards against load shedding that refuses all requests of one VM for minutes while it admits all requests of
     * another. All requests of a VM come from one address; if the address identified the caller, all of them would have
     * the same position in the shedding order.
     */
    @Test
    void requestsOfOneVmHaveDifferentPositionsInSheddingOrder() throws IOException {
        for (int i = 0; i < 20; i++) {
            request("00000000000000" + (10 + i));
        }
        long hashes = received.stream()
                .map(request -> CallerHash.of(request.identity(), 0))
                .distinct()
                .count();
        assertThat(hashes).isEqualTo(20);
    }

    @Test
    void refusalContainsRetryAfterHeader() throws IOException {
        assertThat(request("1")).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After: 1.250");
    }

    /**
     * Guards against two faults: an organisation's API key in the logs of a target, and a client that impersonates
     * another organisation by sending its name. The node forwards neither header.
     */
    @Test
    void credentialAndOrganisationNameOfClientAreNotForwarded() throws IOException {
        request(
                "1",
                "x-beryldock-credential: key-1\r\nX-Beryldock-Credential: key-2\r\nX-Beryldock-TENANT-Id: gent\r\n");
        assertThat(received.get(0).credentials()).containsExactly("key-1", "key-2");
        assertThat(received.get(0).headers().list().toString()).doesNotContain("key-", "gent");
    }

    /** Guards against an order that may have run while its caller is told that it has not. */
    @ParameterizedTest
    @EnumSource(Reason.class)
    void resultOfUnknownOutcomePromisesNothing(Reason reason) throws IOException {
        refusal = CallResult.unknown(reason, "").withRetryAfterMillis(700);
        assertThat(request("1")).containsPattern("^HTTP/1.1 50[24] ").doesNotContainIgnoringCase("Retry-After");
    }

    @Test
    void refusalsForKeysAndQuotasHaveTheirOwnStatus() throws IOException {
        refusal = CallResult.notRun(Reason.UNKNOWN_KEY, "");
        assertThat(request("1")).startsWith("HTTP/1.1 401").doesNotContainIgnoringCase("Retry-After");
        refusal = CallResult.notRun(Reason.KEYS_UNCERTAIN, "").withRetryAfterMillis(400);
        assertThat(request("2")).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After: 0.400");
        refusal = CallResult.notRun(Reason.OVER_QUOTA, "").withRetryAfterMillis(700);
        assertThat(request("3")).startsWith("HTTP/1.1 429").containsIgnoringCase("Retry-After: 0.700");
    }
}
