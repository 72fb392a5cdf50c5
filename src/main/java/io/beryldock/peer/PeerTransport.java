package io.beryldock.peer;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends messages to other nodes and hands theirs to the handler of their topic.
 *
 * <p>Thread safe. A reply reaches the request with its id on its connection only; any other is counted and dropped.
 */
public interface PeerTransport {

    /**
     * Sends a request.
     *
     * <p>The future fails only with {@link PeerException}, whose kind tells whether the request can have reached the
     * other node. Cancelling the future sends a cancellation after the request.
     */
    CompletableFuture<ByteString> request(InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout);

    /** Sends a message that needs no reply; it may be lost. */
    void send(InetSocketAddress peer, PeerTopic topic, ByteString body);

    /** Registers the one handler of a topic, before the transport starts. */
    void handle(PeerTopic topic, PeerHandler handler);
}
