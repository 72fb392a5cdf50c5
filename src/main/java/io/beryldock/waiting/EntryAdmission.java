package io.beryldock.waiting;

import java.util.concurrent.CompletableFuture;

/** Decides whether and when a caller's request starts. Thread safe. */
public interface EntryAdmission {

    /** A request whose decision may be pending. */
    interface Pending {

        /**
         * Completes exactly once and never exceptionally.
         *
         * <p>It completes before the request becomes unable to meet its objective. A request that is unable to do so on
         * arrival waits at most as long as its caller still accepts an answer.
         */
        CompletableFuture<EntryDecision> decision();

        /** Cancels the wait because the caller has left, which frees the request's place in the queue. */
        void cancel();
    }

    Pending admit(WaitingRequest request);

    /** Stops admission because the node stops: waiting requests are refused now, and so are later ones. */
    void stop();
}
