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

final class CallerEndpointTest {

    private static final HttpServerLimits LIMITS =
            new HttpServerLimits(1000, 100, Duration.ofSeconds(60), Duration.ofSeconds(60));

    private final EventLoops loops = EventLoops.create(1);
    private final List<IncomingRequest> taken = new CopyOnWriteArrayList<>();
    private CallResult refusal = CallResult.notRun(Reason.SHED_AT_DOOR, "").withRetryAfterMillis(1_250);
    private HttpServer server;
    private Socket socket;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        CallerEndpoint endpoint = new CallerEndpoint(
                (request, scope) -> {
                    taken.add(request);
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

    private String ask(String id) throws IOException {
        return ask(id, "");
    }

    private String ask(String id, String more) throws IOException {
        String text = "GET /a/ HTTP/1.1\r\nHost: a\r\nX-Beryldock-Request-Id: " + id + "\r\n" + more + "\r\n";
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
     * Story: under overload the readers of one VM get no page for minutes while those of another get all. All requests
     * of a VM come from one address, so they had one place in the order of shedding.
     */
    @Test
    void requestsOfOneVmHaveDifferentPlacesInTheOrderOfShedding() throws IOException {
        for (int i = 0; i < 20; i++) {
            ask("00000000000000" + (10 + i));
        }
        long hashes = taken.stream()
                .map(request -> CallerHash.of(request.identity(), 0))
                .distinct()
                .count();
        assertThat(hashes).isEqualTo(20);
    }

    @Test
    void refusalSaysWhenToComeBack() throws IOException {
        assertThat(ask("1")).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After: 1.250");
    }

    /**
     * Story: an organisation's key is found in the logs of a target, and a client passes for another organisation by
     * naming it itself. Neither header goes further than this node.
     */
    @Test
    void keyAndNameOfAnOrganisationAreNotPassedOn() throws IOException {
        ask("1", "x-beryldock-credential: key-1\r\nX-Beryldock-Credential: key-2\r\nX-Beryldock-TENANT-Id: gent\r\n");
        assertThat(taken.get(0).credentials()).containsExactly("key-1", "key-2");
        assertThat(taken.get(0).headers().list().toString()).doesNotContain("key-", "gent");
    }

    @Test
    void refusalsForKeysAndQuotasHaveTheirStatus() throws IOException {
        refusal = CallResult.notRun(Reason.UNKNOWN_KEY, "");
        assertThat(ask("1")).startsWith("HTTP/1.1 401").doesNotContainIgnoringCase("Retry-After");
        refusal = CallResult.notRun(Reason.KEYS_UNCERTAIN, "").withRetryAfterMillis(400);
        assertThat(ask("2")).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After: 0.400");
        refusal = CallResult.notRun(Reason.OVER_QUOTA, "").withRetryAfterMillis(700);
        assertThat(ask("3")).startsWith("HTTP/1.1 429").containsIgnoringCase("Retry-After: 0.700");
    }
}
