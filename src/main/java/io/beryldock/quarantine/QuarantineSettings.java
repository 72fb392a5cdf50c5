package io.beryldock.quarantine;

import java.time.Duration;

/**
 * Settings of a {@link Quarantine}. Immutable.
 *
 * @param length how long a suspicion or a quarantine lasts
 * @param unconfirmedLength how long one lasts that rests on a lost connection, until the node is known to have failed
 * @param maxEntries largest number of entries held, each a request in flight at a crash
 * @param massLoss so many nodes lost within {@code massWindow} are a failure of what they share, not of a request
 * @param massWindow time within which losses count as one
 */
public record QuarantineSettings(
        Duration length, Duration unconfirmedLength, int maxEntries, int massLoss, Duration massWindow) {

    private static final QuarantineSettings DEFAULTS =
            new QuarantineSettings(Duration.ofMinutes(15), Duration.ofSeconds(20), 1000, 3, Duration.ofSeconds(10));

    public QuarantineSettings {
        if (maxEntries < 1 || massLoss < 2) {
            throw new IllegalArgumentException("maxEntries must be at least 1 and massLoss at least 2");
        }
        if (unconfirmedLength.compareTo(length) > 0) {
            throw new IllegalArgumentException("an unconfirmed entry must not outlast a confirmed one: " + length);
        }
    }

    public static QuarantineSettings defaults() {
        return DEFAULTS;
    }
}
