package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HttpTargetHealthTest {

    private static final String PATH = "/health";
    private static final int NOT_FOUND = 404;

    private final EventLoops loops = EventLoops.create(1);
    private volatile HttpAnswer answer = HttpAnswer.of(NOT_FOUND);
    private HttpServer server;
    private HttpClient client;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        HttpServerLimits limits = new HttpServerLimits(1 << 14, 1 << 20, Duration.ofMinutes(1), Duration.ofMinutes(1));
        server = HttpServer.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loops, () -> limits, this::respond);
        client = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(10), Duration.ofMinutes(1), Duration.ofMinutes(1), 1 << 20),
                loops);
    }

    @AfterEach
    void stop() {
        server.close();
        loops.close();
    }

    private void respond(HttpExchange exchange) {
        exchange.answer(exchange.uri().equals(PATH) ? answer : HttpAnswer.of(NOT_FOUND));
    }

    private boolean isServing(Optional<String> healthPath) {
        Announcement announcement =
                new Announcement("lists", "127.0.0.1:" + server.address().getPort(), 8, TargetState.READY);
        return new HttpTargetHealth(client, service -> healthPath)
                .isServing("i-1", announcement)
                .join();
    }

    /** Guards against a departed start, or another one at its address, that is taken for a serving one. */
    @ParameterizedTest
    @CsvSource({"200, i-1, true", "503, i-1, false", "200, i-2, false"})
    void onlyTheStartItselfCanSayThatItServes(int status, String id, boolean serving) {
        Headers headers = Headers.empty().with(PlatformHeaders.TARGET_ID, id);
        answer = HttpAnswer.of(status, headers, ByteString.EMPTY);
        assertThat(isServing(Optional.of(PATH))).isEqualTo(serving);
    }

    @Test
    void answerWithoutIdSaysNothing() {
        answer = HttpAnswer.of(200);
        assertThat(isServing(Optional.of(PATH))).isFalse();
    }

    @Test
    void targetWithoutHealthPathIsNotAsked() {
        assertThat(isServing(Optional.empty())).isFalse();
    }

    @Test
    void targetThatDoesNotListenDoesNotServe() {
        server.close();
        assertThat(isServing(Optional.of(PATH))).isFalse();
    }
}
