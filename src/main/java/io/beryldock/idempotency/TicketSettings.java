package io.beryldock.idempotency;

import java.time.Duration;

/**
 * Limits of a ticket table. Immutable.
 *
 * <p>At its limits a node mints no tickets; it does not discard entries before their time.
 *
 * @param maxTickets maximum number of tickets held, in any state
 * @param maxBytes maximum memory of tickets and stored answers; an answer that does not fit is forwarded but not stored
 * @param unusedLifetime time for which a ticket that has not been presented may still be dispatched
 * @param retention time for which a ticket's outcome is kept after its last change
 * @param maxJoiners maximum number of requests that wait for one ticket
 * @param handoverPartBytes approximate size of the parts in which a table is handed over
 */
public record TicketSettings(
        int maxTickets,
        long maxBytes,
        Duration unusedLifetime,
        Duration retention,
        int maxJoiners,
        long handoverPartBytes) {

    private static final int DEFAULT_TICKETS = 40_000;
    private static final long DEFAULT_BYTES = 16L << 20;
    private static final int DEFAULT_JOINERS = 100;
    private static final long DEFAULT_PART_BYTES = 256 << 10;

    /** Keeps ended tickets for 30 minutes and unused ones for 15 minutes. */
    public static TicketSettings defaults() {
        return new TicketSettings(
                DEFAULT_TICKETS,
                DEFAULT_BYTES,
                Duration.ofMinutes(15),
                Duration.ofMinutes(30),
                DEFAULT_JOINERS,
                DEFAULT_PART_BYTES);
    }
}
