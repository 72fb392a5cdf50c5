package io.beryldock.credit;

import java.time.Duration;

/** How long a home gathers claims before it divides. Stateless, thread safe. */
final class CreditRound {

    /** A burst is met within two rounds, before it has filled the queues of gates. */
    static final long SHORTEST_NANOS = Duration.ofMillis(50).toNanos();

    /** With longer rounds requests would wait for credits longer than for their work. */
    static final long LONGEST_NANOS = Duration.ofMillis(500).toNanos();

    /** With it a home takes and answers at most some 600 questions a second, however many entries there are. */
    private static final long NANOS_A_CLAIM = Duration.ofNanos(1_600_000).toNanos();

    private CreditRound() {}

    /**
     * Length of a round.
     *
     * @param askers entries and other homes that took part in the last one
     */
    static long nanos(int askers) {
        return Math.max(SHORTEST_NANOS, Math.min(LONGEST_NANOS, askers * NANOS_A_CLAIM));
    }
}
