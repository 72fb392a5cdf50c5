package io.beryldock.peer;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/** A request on its way to a peer. Its fields but the future are used on the link's event loop only. */
final class OutboundRequest {

    private final int topic;
    private final ByteString body;
    private final long deadline;
    private final CompletableFuture<ByteString> reply = new CompletableFuture<>();

    OutboundRequest(int topic, ByteString body, long deadline) {
        this.topic = topic;
        this.body = body;
        this.deadline = deadline;
    }

    int topic() {
        return topic;
    }

    ByteString body() {
        return body;
    }

    long deadline() {
        return deadline;
    }

    CompletableFuture<ByteString> reply() {
        return reply;
    }

    void fail(PeerException.Kind kind, String message) {
        reply.completeExceptionally(new PeerException(kind, message));
    }
}
