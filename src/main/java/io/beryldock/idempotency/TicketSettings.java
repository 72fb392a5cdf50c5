package io.beryldock.idempotency;

import java.time.Duration;

/**
 * Bounds of a ticket table. Immutable.
 *
 * <p>A node at its bounds mints no more rather than forget early.
 *
 * @param maxTickets tickets held at once, whatever their state
 * @param maxBytes memory of tickets and kept answers; an answer that does not fit is passed on but not kept
 * @param unusedLifetime how long a ticket that nobody presented may still be dispatched
 * @param retention how long a ticket's end is kept after its last change
 * @param maxJoiners requests that may wait for one ticket at once
 * @param handoverPartBytes size of the parts in which a table is handed over
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

    /** Half an hour for ended tickets, a quarter of an hour for unused ones. */
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
