package io.beryldock.peer;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends messages to other nodes and dispatches received messages to the handler of their topic.
 *
 * <p>A reply is matched to the request with the same id on the same connection; a reply without such a request is
 * counted and dropped.
 *
 * <p>Thread safe.
 */
public interface PeerTransport {

    /**
     * Sends a request.
     *
     * <p>The future fails only with {@link PeerException}, whose kind tells whether the request may have reached the
     * other node. Cancelling the future sends a cancellation if the request has been written.
     */
    CompletableFuture<ByteString> request(InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout);

    /** Sends a message that needs no reply; it may be lost. */
    void send(InetSocketAddress peer, PeerTopic topic, ByteString body);

    /** Registers the only handler of a topic, before the transport starts. */
    void registerHandler(PeerTopic topic, PeerHandler handler);
}
