package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * State of one ticket in a table. Used on the control thread only.
 *
 * <p>The table ensures that an entry leaves the state NEW once and never returns to it.
 */
final class TicketEntry {

    /** Estimated size of an entry without its answer, in bytes. */
    static final long BASE_BYTES = 550;

    private final long nonce;
    private final List<Joiner> joiners = new ArrayList<>(1);
    private TicketState state;
    private Optional<TicketScope> scope;
    private Optional<CallResult> result;
    private long changedAt;

    TicketEntry(long nonce, TicketState state, Optional<TicketScope> scope, Optional<CallResult> result, long now) {
        this.nonce = nonce;
        this.state = state;
        this.scope = scope;
        this.result = result;
        this.changedAt = now;
    }

    static TicketEntry minted(long nonce, long now) {
        return new TicketEntry(nonce, TicketState.NEW, Optional.empty(), Optional.empty(), now);
    }

    long nonce() {
        return nonce;
    }

    TicketState state() {
        return state;
    }

    Optional<TicketScope> scope() {
        return scope;
    }

    Optional<CallResult> result() {
        return result;
    }

    long changedAt() {
        return changedAt;
    }

    List<Joiner> joiners() {
        return joiners;
    }

    long bytes() {
        return BASE_BYTES + result.map(TicketEntry::sizeOf).orElse(0L);
    }

    void dispatch(TicketScope newScope, long now) {
        state = TicketState.IN_FLIGHT;
        scope = Optional.of(newScope);
        changedAt = now;
    }

    void end(TicketState newState, Optional<CallResult> newResult, long now) {
        state = newState;
        result = newResult;
        changedAt = now;
    }

    static long sizeOf(CallResult result) {
        long size = result.detail().length();
        if (result.answer().isPresent()) {
            size += result.answer().get().body().size();
            size += result.answer().get().headers().list().stream()
                    .mapToLong(header -> header.name().length() + header.value().length())
                    .sum();
        }
        return size;
    }
}
