package io.beryldock.credit;

import java.time.Duration;

/** Length of the rounds in which a home node collects claims before it divides the capacity. Stateless, thread safe. */
final class CreditRound {

    /** Short enough to handle a burst within two rounds, before it has filled the queues of the gates. */
    static final long MIN_NANOS = Duration.ofMillis(50).toNanos();

    /** With longer rounds, requests would wait longer for credits than for their work. */
    static final long MAX_NANOS = Duration.ofMillis(500).toNanos();

    /** Limits a home node to about 600 questions per second while rounds are shorter than {@link #MAX_NANOS}. */
    private static final long NANOS_PER_PARTICIPANT =
            Duration.ofNanos(1_600_000).toNanos();

    private CreditRound() {}

    /**
     * Length of a round.
     *
     * @param participants number of entry nodes and other home nodes that took part in the last round
     */
    static long nanos(int participants) {
        return Math.max(MIN_NANOS, Math.min(MAX_NANOS, participants * NANOS_PER_PARTICIPANT));
    }
}
