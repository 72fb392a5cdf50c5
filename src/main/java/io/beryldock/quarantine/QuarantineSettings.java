package io.beryldock.quarantine;

import java.time.Duration;

/**
 * Settings of a {@link Quarantine}. Immutable.
 *
 * @param length how long a suspicion or a conviction lasts
 * @param unconfirmedLength how long either lasts while it is based on a lost connection only, before the node is known
 *     to have failed
 * @param maxEntries largest number of entries held, each for a request in flight at a crash
 * @param massLoss number of nodes lost within {@code massWindow} from which the losses are attributed to a failure that
 *     the nodes share, not to a request
 * @param massWindow time within which losses of nodes count together
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
            throw new IllegalArgumentException("unconfirmedLength must not exceed length: " + length);
        }
    }

    public static QuarantineSettings defaults() {
        return DEFAULTS;
    }
}
