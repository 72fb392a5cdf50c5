package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.Headers;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.forwarding.TargetFixtures;
import io.beryldock.forwarding.TargetReply;
import io.beryldock.forwarding.TargetReply.Kind;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import io.beryldock.nettyhttp.RawServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a node takes the answers of its target for. */
final class PlatformTargetClientTest {

    private static final String REQUEST = "9c41d07be2a35f68";

    private final EventLoops loops = EventLoops.create(1);
    private volatile int status;
    private volatile Headers headers = Headers.empty();
    private HttpServer server;
    private HttpClient http;
    private PlatformTargetClient client;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        HttpServerLimits limits = new HttpServerLimits(1 << 14, 1 << 20, Duration.ofMinutes(1), Duration.ofMinutes(1));
        server = HttpServer.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loops, () -> limits, this::answer);
        http = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(10), Duration.ofMinutes(1), Duration.ofMinutes(1), 1 << 20),
                loops);
        client = clientOf(server.address());
    }

    @AfterEach
    void stop() {
        server.close();
        loops.close();
    }

    private PlatformTargetClient clientOf(InetSocketAddress target) {
        return new PlatformTargetClient(http, () -> Optional.of(new LocalTarget("i-1", target)));
    }

    private void answer(HttpExchange exchange) {
        exchange.answer(HttpAnswer.of(status, headers.with(PlatformHeaders.REQUEST_ID, REQUEST), ByteString.EMPTY));
    }

    private TargetReply send(boolean idempotent) {
        return send(client, idempotent);
    }

    private static TargetReply send(PlatformTargetClient client, boolean idempotent) {
        Headers request = Headers.empty().with(PlatformHeaders.REQUEST_ID, REQUEST);
        Call read = TargetFixtures.read("/lists/1", Duration.ofMinutes(1), id -> request);
        Call call = new Call(
                read.id(),
                read.caller(),
                read.service(),
                "POST",
                read.path(),
                request,
                read.body(),
                idempotent,
                Optional.empty(),
                read.context());
        return client.send(call, () -> true).reply().join();
    }

    /** Guards against an order that runs twice, or is refused while it runs: its refusal comes again, late. */
    @Test
    void lateCopyOfRefusalIsNotTheEndOfTheResentOrder() throws IOException {
        String refusal = """
                HTTP/1.1 503 Service Unavailable\r
                X-Beryldock-Request-Id: %s\r
                X-Beryldock-Not-Executed: 1\r
                Content-Length: 0\r
                \r
                """.formatted(REQUEST);
        String success = """
                HTTP/1.1 200 OK\r
                X-Beryldock-Request-Id: %s\r
                X-Beryldock-Response-Signature: signed\r
                Content-Length: 0\r
                \r
                """.formatted(REQUEST);
        try (RawServer target = RawServer.start(refusal + RawServer.LATE + refusal, success)) {
            PlatformTargetClient resending = clientOf(target.address());
            assertThat(send(resending, false).kind()).isEqualTo(Kind.REFUSED);
            assertThat(send(resending, false).kind()).isEqualTo(Kind.ANSWERED);
        }
    }

    /** Guards against an order that has run while its caller is told that it has not: the target promised nothing. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusOfRefusalWithoutMarkPromisesNothingForCallThatMustRunOnce(int unmarked) {
        status = unmarked;
        assertThat(send(false).kind()).isEqualTo(Kind.LOST);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusOfRefusalWithoutMarkIsTheAnswerToAnIdempotentCall(int unmarked) {
        status = unmarked;
        TargetReply reply = send(true);
        assertThat(reply.kind()).isEqualTo(Kind.ANSWERED);
        assertThat(reply.answer().orElseThrow().status()).isEqualTo(unmarked);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 429, 503})
    void markedAnswerIsRefusal(int marked) {
        status = marked;
        headers = headers.with(PlatformHeaders.NOT_EXECUTED, "1");
        assertThat(send(false).kind()).isEqualTo(Kind.REFUSED);
    }

    /** Guards against an order that runs twice because a success bears the mark of a refusal. */
    @ParameterizedTest
    @ValueSource(ints = {200, 302})
    void markedSuccessPromisesNothing(int marked) {
        status = marked;
        headers = headers.with(PlatformHeaders.NOT_EXECUTED, "1").with(PlatformHeaders.SIGNATURE, "signed");
        assertThat(send(false).kind()).isEqualTo(Kind.LOST);
    }

    @Test
    void answerOfAnotherTargetIsRefusal() {
        status = 421;
        assertThat(send(false).kind()).isEqualTo(Kind.REFUSED);
    }

    @Test
    void failureOfTheTargetIsAnAnswer() {
        status = 500;
        assertThat(send(false).kind()).isEqualTo(Kind.ANSWERED);
    }

    @Test
    void successWithoutSignatureIsLost() {
        status = 200;
        assertThat(send(false).kind()).isEqualTo(Kind.LOST);
        headers = headers.with(PlatformHeaders.SIGNATURE, "signed");
        assertThat(send(false).kind()).isEqualTo(Kind.ANSWERED);
    }
}
