package io.beryldock.nettyhttp;

import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Responses without end for tests of clients; each is described by its name, its start and what is repeated. */
public final class EndlessResponses {

    /** The largest body, twice, and what sockets hold that nobody has read. */
    public static final long MAX_READ_BYTES = 32L << 20;

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    private EndlessResponses() {}

    /**
     * Returns the kinds that are responses to the call, or no responses.
     *
     * @param head status line and headers, without a blank line
     */
    public static Stream<Arguments> toCall(String head) {
        return Stream.of(
                Arguments.of("blank lines", "", "\r\n"),
                Arguments.of("headers", head, "X-Padding: a\r\n"),
                Arguments.of("a header value", head + "X-Padding: ", "a"),
                Arguments.of("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
                Arguments.of("a body", head + CHUNKED, "4\r\nbody\r\n"),
                Arguments.of("a body without length", head + "\r\n", "body"),
                Arguments.of("a chunk extension", head + CHUNKED + "4;", "a"),
                Arguments.of("trailers", head + CHUNKED + "0\r\n", "X-Padding: a\r\n"));
    }

    /** Returns a response to the call with a body of which each byte costs a thousand bytes of framing. */
    public static Stream<Arguments> chunkExtensions(String head) {
        return Stream.of(Arguments.of("chunk extensions", head + CHUNKED, "1;" + "a".repeat(1000) + "\r\nb\r\n"));
    }

    /** Returns the kinds that are responses to another call. */
    static Stream<Arguments> toAnotherCall(String head) {
        return Stream.of(
                Arguments.of("responses to another call", "", head + "Content-Length: 0\r\n\r\n"),
                Arguments.of("a body for another call", head + CHUNKED, "4\r\nbody\r\n"));
    }
}
