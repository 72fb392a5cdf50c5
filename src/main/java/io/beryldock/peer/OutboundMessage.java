package io.beryldock.peer;

import com.google.protobuf.ByteString;
import io.beryldock.peer.PeerException.Kind;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Notice;
import io.beryldock.wire.Request;
import java.util.concurrent.CompletableFuture;

/**
 * A request or a one-way message to a peer, with its delivery state.
 *
 * <p>A message that has been written is never marked as unwritten again, so that a request is sent at most once.
 *
 * <p>The future and the link are thread safe; all other state is confined to the event loop of the link.
 */
final class OutboundMessage {

    private final int topic;
    private final ByteString body;
    private final boolean oneWay;
    private final long deadline;
    private final CompletableFuture<ByteString> reply = new CompletableFuture<>();
    private volatile OutboundLink link;
    private OutboundConnection connection;
    private long id;
    private long sentAt;

    private OutboundMessage(int topic, ByteString body, boolean oneWay, long deadline) {
        this.topic = topic;
        this.body = body;
        this.oneWay = oneWay;
        this.deadline = deadline;
    }

    /**
     * Creates a request that awaits its reply until {@code deadline} of the ticker; cancelling its future cancels the
     * request.
     */
    static OutboundMessage request(int topic, ByteString body, long deadline) {
        OutboundMessage message = new OutboundMessage(topic, body, false, deadline);
        var unused = message.reply.whenComplete((answer, failure) -> message.propagateCancellation());
        return message;
    }

    /** Creates a one-way message that may wait for a connection until {@code deadline} of the ticker. */
    static OutboundMessage notice(int topic, ByteString body, long deadline) {
        return new OutboundMessage(topic, body, true, deadline);
    }

    boolean oneWay() {
        return oneWay;
    }

    int bodyBytes() {
        return body.size();
    }

    boolean overdue(long now) {
        return deadline - now <= 0;
    }

    CompletableFuture<ByteString> reply() {
        return reply;
    }

    /** Whether the future is completed, by a reply, a failure or a cancellation. */
    boolean completed() {
        return reply.isDone();
    }

    void assignTo(OutboundLink newLink) {
        link = newLink;
    }

    private void propagateCancellation() {
        OutboundLink holder = link;
        if (reply.isCancelled() && holder != null) {
            holder.cancel(this);
        }
    }

    /** Returns the connection that the message was written to; null if it has not been written. */
    OutboundConnection connection() {
        return connection;
    }

    long id() {
        return id;
    }

    /** Returns the time of the connection's {@link LivenessMonitor} at which the message was written. */
    long sentAt() {
        return sentAt;
    }

    Frame requestFrame(long requestId) {
        Request.Builder request =
                Request.newBuilder().setId(requestId).setTopic(topic).setBody(body);
        return Frame.newBuilder().setRequest(request).build();
    }

    Frame noticeFrame() {
        Notice.Builder notice = Notice.newBuilder().setTopic(topic).setBody(body);
        return Frame.newBuilder().setNotice(notice).build();
    }

    void markWritten(OutboundConnection writtenTo, long requestId, long writtenAt) {
        connection = writtenTo;
        id = requestId;
        sentAt = writtenAt;
    }

    void fail(Kind kind, String message) {
        reply.completeExceptionally(new PeerException(kind, message));
    }
}
