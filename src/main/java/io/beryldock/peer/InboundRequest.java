package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.peer.PeerHandler.PeerMessage;
import io.beryldock.wire.ReplyFailure;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** A request from a peer, which ends exactly once: by its reply or its cancellation. Thread safe. */
final class InboundRequest implements PeerMessage {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final String sender;
    private final ByteString body;
    private final BiConsumer<ByteString, ReplyFailure> reply;
    private final List<Runnable> onCancel = new ArrayList<>();
    private State state = State.OPEN;

    private InboundRequest(String sender, ByteString body, BiConsumer<ByteString, ReplyFailure> reply) {
        this.sender = sender;
        this.body = body;
        this.reply = reply;
    }

    static InboundRequest create(String sender, ByteString body, BiConsumer<ByteString, ReplyFailure> reply) {
        return new InboundRequest(sender, body, reply);
    }

    @Override
    public String sender() {
        return sender;
    }

    @Override
    public ByteString body() {
        return body;
    }

    @Override
    public void reply(ByteString answer) {
        if (end(State.REPLIED)) {
            reply.accept(answer, ReplyFailure.REPLY_OK);
        }
    }

    /** Sends a reply without a body that names the failure, unless the request has ended. */
    void fail(ReplyFailure failure) {
        if (end(State.REPLIED)) {
            reply.accept(ByteString.EMPTY, failure);
        }
    }

    @Override
    public void onCancel(Runnable task) {
        if (!addOnCancel(task)) {
            runLogged(task);
        }
    }

    /** Cancels the request and runs its {@link #onCancel} tasks, unless the request has ended. */
    void cancel() {
        if (end(State.CANCELLED)) {
            // Safe without the lock: addOnCancel adds no task after the request has ended.
            onCancel.forEach(InboundRequest::runLogged);
        }
    }

    /** Adds the task if the request is open; returns false if the request is cancelled and the task must run now. */
    private synchronized boolean addOnCancel(Runnable task) {
        if (state == State.OPEN) {
            onCancel.add(task);
        }
        return state != State.CANCELLED;
    }

    private synchronized boolean end(State next) {
        if (state != State.OPEN) {
            return false;
        }
        state = next;
        return true;
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a cancellation task of a peer request failed");
        }
    }

    /** The state of a request. */
    private enum State {
        OPEN,
        REPLIED,
        CANCELLED
    }
}
