package io.beryldock.waiting;

import java.util.concurrent.CompletableFuture;

/** An entry at which nobody waits: the levels of services decide over all requests. Immutable. */
final class NoWaiting implements EntryAdmission {

    private static final Pending NOT_GOVERNED = new Pending() {
        @Override
        public CompletableFuture<EntryDecision> decision() {
            return CompletableFuture.completedFuture(EntryDecision.notGoverned());
        }

        @Override
        public void leave() {}
    };

    @Override
    public Pending admit(WaitingRequest request) {
        return NOT_GOVERNED;
    }

    @Override
    public void stop() {}
}
