package io.beryldock.nettyhttp;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.eventloop.EventLoops;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HttpServerTest {

    private static final HttpServerLimits LIMITS =
            new HttpServerLimits(1000, 100, Duration.ofSeconds(60), Duration.ofSeconds(60));

    private final EventLoops loops = EventLoops.create(1);
    private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    private HttpServer server;
    private Socket socket;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.bind(any, loops, () -> LIMITS, exchanges::add);
        socket = new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(10_000);
    }

    @AfterEach
    void stop() throws IOException {
        socket.close();
        server.close();
        loops.close();
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private HttpExchange next() throws InterruptedException {
        return exchanges.poll(10, TimeUnit.SECONDS);
    }

    private static void answer(HttpExchange exchange, String body) {
        exchange.answer(HttpAnswer.of(200, Headers.empty(), ByteString.copyFromUtf8(body)));
    }

    private String readUntil(String end) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder read = new StringBuilder();
        while (read.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                return read.toString();
            }
            read.append((char) next);
        }
        return read.toString();
    }

    /**
     * Story: a client sends two searches on one connection and gets their results swapped. The second one was answered
     * first and written first.
     */
    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        HttpExchange first = next();
        HttpExchange second = next();
        answer(second, "second!");
        answer(first, "first!");
        assertThat(readUntil("second!")).containsSubsequence("first!", "second!");
    }

    @Test
    void bodyInChunksIsReadWhole() throws Exception {
        write("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertThat(next().body().toStringUtf8()).isEqualTo("abcde");
    }

    /** Story: a reader closes the page; the work for it must end, so the handler hears of it. */
    @Test
    void handlerHearsOfAClientThatLeaves() throws Exception {
        write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        CountDownLatch gone = new CountDownLatch(1);
        next().onGone(gone::countDown);
        socket.close();
        assertThat(gone.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void bodyOverTheLimitIsRefused() throws Exception {
        write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n");
        assertThat(readUntil("\r\n\r\n")).startsWith("HTTP/1.1 413").contains("connection: close");
    }

    @Test
    void headersOverTheLimitAreRefused() throws Exception {
        write("GET /1 HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(1000) + "\r\n\r\n");
        assertThat(readUntil("\r\n\r\n")).startsWith("HTTP/1.1 431");
    }

    @Test
    void nothingIsReadBehindAnAnswerThatCloses() throws Exception {
        write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        HttpExchange first = next();
        HttpExchange second = next();
        CountDownLatch gone = new CountDownLatch(1);
        second.onGone(gone::countDown);
        first.answer(HttpAnswer.of(200).closing());
        assertThat(gone.await(10, TimeUnit.SECONDS)).isTrue();
        answer(second, "never");
        assertThat(readUntil("never")).doesNotContain("never");
    }

    /** Guards against a client that waits for ever for an answer which can't be written. */
    @Test
    void anAnswerThatCanNotBeWrittenClosesTheConnection() throws IOException, InterruptedException {
        write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        next().answer(HttpAnswer.of(200, Headers.empty().with("no header name", "x"), ByteString.EMPTY));
        assertThat(readUntil("\r\n\r\n")).isEmpty();
    }
}
