package io.beryldock.peer;

import com.google.protobuf.ByteString;
import io.beryldock.peer.PeerHandler.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A request from a peer. Thread safe. */
final class InboundRequest implements PeerMessage {

    private final String sender;
    private final ByteString body;
    private final Consumer<ByteString> reply;
    private final List<Runnable> onCancel = new ArrayList<>();
    private State state = State.OPEN;

    InboundRequest(String sender, ByteString body, Consumer<ByteString> reply) {
        this.sender = sender;
        this.body = body;
        this.reply = reply;
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
            reply.accept(answer);
        }
    }

    @Override
    public void onCancel(Runnable task) {
        synchronized (this) {
            if (state == State.OPEN) {
                onCancel.add(task);
                return;
            }
            if (state == State.REPLIED) {
                return;
            }
        }
        task.run();
    }

    /** Runs the tasks of {@link #onCancel} unless the reply has been sent. */
    void cancel() {
        List<Runnable> tasks = List.of();
        synchronized (this) {
            if (state == State.OPEN) {
                state = State.CANCELLED;
                tasks = List.copyOf(onCancel);
            }
        }
        tasks.forEach(Runnable::run);
    }

    private synchronized boolean end(State next) {
        if (state != State.OPEN) {
            return false;
        }
        state = next;
        return true;
    }

    /** How far a request has come. */
    private enum State {
        OPEN,
        REPLIED,
        CANCELLED
    }
}
