package io.beryldock.waiting;

import io.beryldock.waiting.EntryAdmission.Pending;
import java.util.concurrent.CompletableFuture;

/** A request that was decided on arrival, without waiting. Immutable. */
record DecidedRequest(CompletableFuture<EntryDecision> decision) implements Pending {

    private static final DecidedRequest NOT_GOVERNED = of(EntryDecision.notGoverned());

    static DecidedRequest of(EntryDecision decision) {
        return new DecidedRequest(CompletableFuture.completedFuture(decision));
    }

    static DecidedRequest notGoverned() {
        return NOT_GOVERNED;
    }

    @Override
    public void cancel() {
        // The request is not queued, so there is nothing to remove.
    }
}
