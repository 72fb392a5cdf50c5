package io.beryldock.idempotency;

/** State of a ticket. The number is its wire representation and must not change. */
enum TicketState {
    /** Minted but not yet presented. */
    NEW(0),
    /** Dispatched; the outcome is pending. */
    IN_FLIGHT(1),
    /** Answered; the answer is stored. */
    ENDED(2),
    /** Refused before it ran; it will never run. */
    CLOSED(3),
    /** Dispatched with an unknown outcome; a late answer may still resolve it. */
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
