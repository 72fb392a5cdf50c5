package io.beryldock.peer;

import com.google.protobuf.ByteString;

/** Takes the messages of one topic. Called on traffic threads: must not block. */
@FunctionalInterface
public interface PeerHandler {

    /** Handles a request or a one-way message; the reply of a one-way message goes nowhere. */
    void handle(PeerMessage message);

    /** A message from another node. */
    interface PeerMessage {

        /** Id of the node at the other end as the connection's hello said. */
        String sender();

        ByteString body();

        /** Sends the reply; a second one is ignored. */
        void reply(ByteString body);

        /** Runs the task when the sender cancels the request or its connection is lost before the reply. */
        void onCancel(Runnable task);
    }
}
