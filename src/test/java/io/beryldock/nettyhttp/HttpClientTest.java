package io.beryldock.nettyhttp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.Streams;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.nettyhttp.HttpExchangeException.Kind;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpClientTest {

    private static final String ID = "X-Id";
    private static final String REFUSAL_WITHOUT_ID = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final EventLoops loops = EventLoops.create(1);
    private final HttpClient client = HttpClient.create(
            new HttpClientSettings(Duration.ofSeconds(5), Duration.ofSeconds(60), Duration.ofSeconds(60), 1000), loops);

    @AfterEach
    void stop() {
        loops.close();
    }

    private static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private CompletableFuture<HttpReply> send(RawServer server, String id) {
        return client.send(server.address(), call(id));
    }

    private static HttpCall call(String id) {
        return call(id, Headers.empty().with("Host", "test").with(ID, id));
    }

    private static HttpCall call(String id, Headers headers) {
        return new HttpCall("GET", "/" + id, headers, ByteString.EMPTY, Optional.of(EchoedId.of(ID, headers)), false);
    }

    private static String refusal(String id) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    private int status(RawServer server, String id) throws Exception {
        return send(server, id).get(10, TimeUnit.SECONDS).status();
    }

    private String body(RawServer server, String id) throws Exception {
        return send(server, id).get(10, TimeUnit.SECONDS).body().toStringUtf8();
    }

    private void awaitOnLoop(Callable<Boolean> condition) throws Exception {
        while (!loops.next().submit(condition).get()) {
            Thread.onSpinWait();
        }
    }

    private void assertLost(CompletableFuture<HttpReply> reply) {
        assertThatThrownBy(() -> reply.get(10, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .cause()
                .isInstanceOfSatisfying(
                        HttpExchangeException.class, e -> assertThat(e.kind()).isEqualTo(Kind.LOST));
    }

    @Test
    void connectionIsUsedAgainAfterCompleteAnswer() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one"), answer("b", "two"))) {
            assertThat(body(server, "a")).isEqualTo("one");
            assertThat(body(server, "b")).isEqualTo("two");
        }
    }

    /**
     * Story: a lecturer opens a list and sees that of another one. The target answered a request twice; the second
     * answer stayed on the kept connection and was taken for that of the next request.
     */
    @Test
    void secondAnswerIsNotTakenForThatOfTheNextRequest() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one"), answer("a", "one") + answer("b", "two"))) {
            assertThat(body(server, "a")).isEqualTo("one");
            assertThat(body(server, "b")).isEqualTo("two");
        }
    }

    /**
     * Story: as before, but the second answer comes in the same bytes as the first one, before the next request.
     */
    @Test
    void bytesBehindAnAnswerEndTheConnection() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one") + answer("b", "false"), answer("b", "two"))) {
            assertThat(body(server, "a")).isEqualTo("one");
            assertThat(body(server, "b")).isEqualTo("two");
        }
    }

    /**
     * Story: a baker sees half a recipe as if it were whole. The target's answer broke off before its length was
     * reached.
     */
    @Test
    void answerThatEndsBeforeItsLengthIsLost() throws Exception {
        try (RawServer server =
                RawServer.start("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf" + RawServer.CLOSE)) {
            assertLost(send(server, "a"));
        }
    }

    /** Guards against an order that runs twice: a late copy of its refusal is taken for the answer to its resend. */
    @Test
    void lateCopyOfRefusalIsNotTakenForTheAnswerToTheResend() throws Exception {
        try (RawServer server = RawServer.start(refusal("a") + RawServer.LATE + refusal("a"), answer("a", "done"))) {
            assertThat(status(server, "a")).isEqualTo(503);
            assertThat(body(server, "a")).isEqualTo("done");
        }
    }

    /** Guards against a new connection for each refusal, which would load a full target further. */
    @Test
    void connectionIsUsedAgainForOtherCallsAfterRefusal() throws Exception {
        try (RawServer server = RawServer.start(refusal("a"), answer("b", "two"), answer("a", "three"))) {
            assertThat(status(server, "a")).isEqualTo(503);
            assertThat(body(server, "b")).isEqualTo("two");
            assertThat(server.connections()).isEqualTo(1);
            assertThat(body(server, "a")).isEqualTo("three");
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    /** Guards against a request that reaches a target that has left while the request waited for a connection. */
    @Test
    void callThatIsWithdrawnWhileItsConnectionIsMadeIsNotSent() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one"))) {
            Iterator<Boolean> answers = List.of(true, false).iterator();
            assertNotSent(client.send(server.address(), call("a"), answers::next, Duration.ofSeconds(10)));
            assertThat(body(server, "a")).isEqualTo("one");
            assertThat(server.request()).as("the first connection").isEqualTo(RawServer.CLOSE);
            assertThat(server.request()).as("the second connection").startsWith("GET /a ");
        }
    }

    @Test
    void callThatIsWithdrawnLeavesTheKeptConnectionUsable() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one"), answer("b", "two"))) {
            assertThat(body(server, "a")).isEqualTo("one");
            assertNotSent(client.send(server.address(), call("c"), () -> false, Duration.ofSeconds(10)));
            assertThat(body(server, "b")).isEqualTo("two");
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    private static void assertNotSent(CompletableFuture<HttpReply> reply) {
        assertThatThrownBy(() -> reply.get(10, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .cause()
                .isInstanceOfSatisfying(
                        HttpExchangeException.class,
                        failure -> assertThat(failure.kind()).isEqualTo(Kind.NOT_SENT));
    }

    /** Guards against a running order that its caller is told has not run: the refusal is a copy and names no call. */
    @Test
    void responseWithoutIdBehindAnotherIsNotTakenForAnAnswer() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one"), REFUSAL_WITHOUT_ID + answer("b", "two"))) {
            assertThat(body(server, "a")).isEqualTo("one");
            assertLost(send(server, "b"));
        }
    }

    @Test
    void firstResponseWithoutIdIsAcceptedAndEndsItsConnection() throws Exception {
        try (RawServer server =
                RawServer.start(REFUSAL_WITHOUT_ID + RawServer.LATE + REFUSAL_WITHOUT_ID, answer("b", "two"))) {
            assertThat(status(server, "a")).isEqualTo(503);
            assertThat(body(server, "b")).isEqualTo("two");
        }
    }

    /** Guards against a call without an id that gets the late copy of another call's answer. */
    @Test
    void callWithoutIdDoesNotTakeTheAnswerOfAnotherCall() throws Exception {
        String plain = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
        try (RawServer server = RawServer.start(answer("a", "one") + RawServer.LATE + answer("a", "one"), plain)) {
            assertThat(body(server, "a")).isEqualTo("one");
            HttpReply reply =
                    client.send(server.address(), call("none", Headers.empty())).get(10, TimeUnit.SECONDS);
            assertThat(reply.status()).isEqualTo(400);
        }
    }

    @Test
    void answerWithoutLengthIsCompleteWhenItsConnectionIsClosed() throws Exception {
        try (RawServer server = RawServer.start("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it" + RawServer.CLOSE)) {
            assertThat(body(server, "a")).isEqualTo("all of it");
        }
    }

    /**
     * Story: a temperature log ends in the middle and looks complete. The answer had no length and its connection was
     * reset on the way, which was taken for its end.
     */
    @Test
    void answerWithoutLengthIsLostWhenItsConnectionIsReset() throws Exception {
        try (RawServer server = RawServer.start("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhal" + RawServer.RESET)) {
            assertLost(send(server, "a"));
        }
    }

    @Test
    void bytesThatAreNoAnswerAreLost() throws Exception {
        try (RawServer server = RawServer.start("rubbish\r\n\r\n")) {
            assertLost(send(server, "a"));
        }
    }

    @Test
    void answerLargerThanTheBoundIsLost() throws Exception {
        try (RawServer server = RawServer.start(answer("a", "x".repeat(1001)))) {
            assertLost(send(server, "a"));
        }
    }

    private static Stream<Arguments> responsesWithoutEnd() {
        String head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";
        String foreign = "HTTP/1.1 200 OK\r\nX-Id: other\r\n";
        return Streams.concat(
                EndlessResponses.toCall(head),
                EndlessResponses.chunkExtensions(head),
                EndlessResponses.toAnotherCall(foreign));
    }

    /** Guards against a target whose response never ends and takes the event loop of its node from everyone else. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("responsesWithoutEnd")
    void responseWithoutEndIsReadInPartOnly(String what, String start, String unit) throws Exception {
        try (RawServer server = RawServer.start(start + RawServer.ENDLESS + unit)) {
            CompletableFuture<HttpReply> reply = send(server, "a");
            assertThat(server.endlessBytes()).as(what).isLessThan(EndlessResponses.MAX_READ_BYTES);
            assertLost(reply);
        }
    }

    /** Guards against an idle connection on which bytes arrive for ever. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "a"})
    void bytesWithoutEndBehindAnAnswerCloseTheConnection(String unit) throws Exception {
        try (RawServer server = RawServer.start(answer("a", "one") + RawServer.ENDLESS + unit, answer("b", "two"))) {
            assertThat(body(server, "a")).isEqualTo("one");
            assertThat(server.endlessBytes()).isLessThan(EndlessResponses.MAX_READ_BYTES);
            assertThat(body(server, "b")).isEqualTo("two");
        }
    }

    /** Guards against an answer that is never read on after it had to wait for other large ones. */
    @Test
    @Timeout(60)
    void largeAnswerIsReadWhenStalledOnesHaveEnded() throws Exception {
        int size = 2 * LargeBodies.SMALL_BYTES;
        String stalled = answer("a", "x".repeat(size)).replace("x".repeat(size), "x".repeat(size - 1));
        String[] script =
                Collections.nCopies(HttpClient.MAX_LARGE_BODIES, stalled).toArray(new String[0]);
        HttpClient large = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(5), Duration.ofSeconds(60), Duration.ofSeconds(60), size),
                loops);
        try (RawServer stalling = RawServer.start(script);
                RawServer sound = RawServer.start(answer("b", "y".repeat(size)))) {
            List<CompletableFuture<HttpReply>> waiting = new ArrayList<>();
            for (int i = 0; i < script.length; i++) {
                waiting.add(large.send(stalling.address(), call("a")));
            }
            awaitOnLoop(() -> large.largeBodies().buffering() == HttpClient.MAX_LARGE_BODIES);
            CompletableFuture<HttpReply> reply = large.send(sound.address(), call("b"));
            awaitOnLoop(() -> large.largeBodies().waiting() == 1);
            waiting.forEach(each -> each.cancel(false));
            assertThat(reply.get(10, TimeUnit.SECONDS).body().size()).isEqualTo(size);
        }
    }

    @Test
    void someInterimResponsesPrecedeAnAnswer() throws Exception {
        String interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(ResponseMeter.MAX_SKIPPED_RESPONSES);
        try (RawServer server = RawServer.start(interim + answer("a", "one"))) {
            assertThat(body(server, "a")).isEqualTo("one");
        }
    }

    @Test
    void refusedConnectionIsNotSent() throws Exception {
        InetSocketAddress free;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            free = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        HttpCall call = HttpCall.of("GET", "/", Headers.empty(), ByteString.EMPTY);
        assertThatThrownBy(() -> client.send(free, call).get(10, TimeUnit.SECONDS))
                .cause()
                .isInstanceOfSatisfying(
                        HttpExchangeException.class, e -> assertThat(e.kind()).isEqualTo(Kind.NOT_SENT));
    }

    /**
     * Story: a student closes the page, yet the target goes on working for a page that nobody reads. The exchange was
     * forgotten here and its connection left open.
     */
    @Test
    void cancelledCallClosesItsConnection() throws Exception {
        try (RawServer server = RawServer.start("")) {
            CompletableFuture<HttpReply> reply = send(server, "a");
            assertThat(server.request()).startsWith("GET /a");
            reply.cancel(false);
            assertThat(server.request()).isIn(RawServer.CLOSE, RawServer.RESET);
        }
    }
}
