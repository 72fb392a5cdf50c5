package io.beryldock.call;

import java.util.Objects;

/**
 * Admission level of a service, as reported with its answers.
 *
 * <p>Immutable. The level ranges from 0 (admits nothing) to {@link #OPEN} (admits all). It is the number of fully
 * admitted ranks times {@link #STEPS}, plus the share of callers admitted from the next rank: level 5 * 128 + 64 admits
 * ranks 0 to 4 and half the callers of rank 5.
 */
public record ServiceLevel(ServiceName service, int level) {

    /** Steps of the caller share within one rank. */
    public static final int STEPS = 128;

    /** Level that admits every rank and caller. */
    public static final int OPEN = PriorityClass.RANKS * STEPS;

    public ServiceLevel {
        Objects.requireNonNull(service, "service");
        if (level < 0 || level > OPEN) {
            throw new IllegalArgumentException("level must be 0 to " + OPEN + ": " + level);
        }
    }
}
