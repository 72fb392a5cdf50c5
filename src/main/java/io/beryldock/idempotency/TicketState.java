package io.beryldock.idempotency;

/** Where a ticket stands. The number is its form on the wire and never changes. */
enum TicketState {
    /** Minted, not yet presented. */
    NEW(0),
    /** Dispatched, the outcome is awaited. */
    IN_FLIGHT(1),
    /** The answer is kept. */
    ENDED(2),
    /** Refused before it ran; will never run. */
    CLOSED(3),
    /** Dispatched, and nobody can say what became of it; an answer may still settle it. */
    UNKNOWN(4);

    private final int number;

    TicketState(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    static TicketState of(int number) {
        for (TicketState state : values()) {
            if (state.number == number) {
                return state;
            }
        }
        throw new IllegalArgumentException("no ticket state has the number " + number);
    }
}
