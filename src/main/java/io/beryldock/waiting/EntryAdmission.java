package io.beryldock.waiting;

import java.util.concurrent.CompletableFuture;

/** Decides when a caller's request starts. Thread safe. */
public interface EntryAdmission {

    /** A request that is being decided over. */
    interface Pending {

        /**
         * Completes once, never fails.
         *
         * <p>At the latest when the request can no longer meet its objective; one that can't when it comes waits at
         * most while its caller still takes an answer.
         */
        CompletableFuture<EntryDecision> decision();

        /** The caller is gone: its place is free for others. */
        void leave();
    }

    Pending admit(WaitingRequest request);

    /** The node stops: whoever waits is refused now, and so is who comes later. */
    void stop();
}
