package io.beryldock.peer;

import com.google.protobuf.ByteString;

/** Handles the messages of one topic. Called on event loop threads and must not block. */
@FunctionalInterface
public interface PeerHandler {

    /** Handles a request or a one-way message; a reply to a one-way message is discarded. */
    void handle(PeerMessage message);

    /** A message from another node. */
    interface PeerMessage {

        /** Returns the id of the sending node, as given in the hello of the connection. */
        String sender();

        ByteString body();

        /** Sends the reply; further replies are ignored. */
        void reply(ByteString body);

        /** Runs the task if the sender cancels the request, or the connection is lost, before the reply. */
        void onCancel(Runnable task);
    }
}
