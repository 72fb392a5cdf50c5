package io.beryldock.nettyhttp;

import java.util.Optional;

/**
 * Bounds what one exchange reads, so that a server that never stops sending costs its caller little processor time.
 *
 * <p>Bytes on the wire are either content, of the response or of responses that are skipped, or framing: status lines,
 * headers, chunk sizes, blank lines. Framing is bounded in proportion to the content, the other two absolutely.
 *
 * <p>Confined to the event loop of the connection.
 */
final class ResponseMeter {

    /** Interim responses and responses to other calls that may precede the response to the call. */
    static final int MAX_SKIPPED_RESPONSES = 16;

    /** Framing beyond as many bytes as there is content. */
    static final int MAX_FRAMING_BYTES = 64 << 10;

    private final int maxBodyBytes;
    private long wireBytes;
    private long bodyBytes;
    private long skippedBytes;
    private int skippedResponses;

    /**
     * Creates a meter for one exchange.
     *
     * @param maxBodyBytes largest body of the response, and largest content of all skipped responses together
     */
    ResponseMeter(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Records bytes that were received, decoded or not. */
    void onReceived(int bytes) {
        wireBytes += bytes;
    }

    /** Records content of the response to the call. */
    void onBody(int bytes) {
        bodyBytes += bytes;
    }

    /** Records content of a response that is skipped. */
    void onSkippedContent(int bytes) {
        skippedBytes += bytes;
    }

    /** Records the head of a response that is skipped. */
    void onSkippedResponse() {
        skippedResponses++;
    }

    /** Returns which bound of the content is exceeded; empty if none is. */
    Optional<String> contentViolation() {
        if (bodyBytes > maxBodyBytes) {
            return Optional.of("the response is larger than " + maxBodyBytes + " bytes");
        }
        if (skippedBytes > maxBodyBytes) {
            return Optional.of("the responses to other calls are larger than " + maxBodyBytes + " bytes");
        }
        return skippedResponses > MAX_SKIPPED_RESPONSES
                ? Optional.of("over " + MAX_SKIPPED_RESPONSES + " other responses precede the response")
                : Optional.empty();
    }

    /**
     * Returns that the bound of the framing is exceeded; empty if it is not.
     *
     * @param undecodedBytes bytes received of which it is not known yet whether they are content
     */
    Optional<String> framingViolation(int undecodedBytes) {
        long content = bodyBytes + skippedBytes;
        long framing = wireBytes - undecodedBytes - content;
        return framing > MAX_FRAMING_BYTES + content
                ? Optional.of("the response has " + framing + " bytes of framing for " + content + " of content")
                : Optional.empty();
    }
}
