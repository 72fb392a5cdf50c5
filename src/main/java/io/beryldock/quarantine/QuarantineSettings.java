package io.beryldock.quarantine;

import java.time.Duration;

/**
 * Settings of a {@link Quarantine}. Immutable.
 *
 * @param length how long a suspicion or a quarantine lasts
 * @param maxEntries largest number of entries held
 */
public record QuarantineSettings(Duration length, int maxEntries) {

    private static final QuarantineSettings DEFAULTS = new QuarantineSettings(Duration.ofMinutes(15), 1000);

    public static QuarantineSettings defaults() {
        return DEFAULTS;
    }
}
