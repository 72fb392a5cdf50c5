package io.beryldock.peer;

import com.google.protobuf.ByteString;
import io.beryldock.peer.PeerException.Kind;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Notice;
import io.beryldock.wire.Request;
import java.util.concurrent.CompletableFuture;

/**
 * A request or a one-way message on its way to a peer, and where it has come to.
 *
 * <p>The future and the link are thread safe; the rest is used on the event loop of its link only. Once written, a
 * message never goes back to being unwritten, so that a request is at most once on the wire.
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

    /** A request whose reply is awaited until {@code deadline} of the ticker; cancelling its future takes it back. */
    static OutboundMessage request(int topic, ByteString body, long deadline) {
        OutboundMessage message = new OutboundMessage(topic, body, false, deadline);
        var unused = message.reply.whenComplete((answer, failure) -> message.cancelIfAsked());
        return message;
    }

    /** A one-way message that may wait for a connection until {@code deadline} of the ticker. */
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

    /** Nobody waits for it any more. */
    boolean ended() {
        return reply.isDone();
    }

    void takenBy(OutboundLink taker) {
        link = taker;
    }

    private void cancelIfAsked() {
        OutboundLink holder = link;
        if (reply.isCancelled() && holder != null) {
            holder.cancel(this);
        }
    }

    /** The connection that it was written to; null as long as it was not. */
    OutboundConnection connection() {
        return connection;
    }

    long id() {
        return id;
    }

    /** Value of the connection's monitor when it was written. */
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

    void written(OutboundConnection to, long requestId, long at) {
        connection = to;
        id = requestId;
        sentAt = at;
    }

    void fail(Kind kind, String message) {
        reply.completeExceptionally(new PeerException(kind, message));
    }
}
