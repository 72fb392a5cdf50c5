package io.beryldock.call;

import java.util.Objects;

/**
 * How much work a service admits, as its answers report it.
 *
 * <p>Immutable. The level runs from 0 (admits nothing) to {@link #OPEN} (admits all): rank times {@link #STEPS} plus
 * the share of callers of that rank, so that level 5 * 128 + 64 admits ranks 0 to 4 and half the callers of rank 5.
 */
public record ServiceLevel(ServiceName service, int level) {

    /** Steps of the caller share within one rank. */
    public static final int STEPS = 128;

    /** Admits every rank and caller. */
    public static final int OPEN = PriorityClass.RANKS * STEPS;

    public ServiceLevel {
        Objects.requireNonNull(service, "service");
        if (level < 0 || level > OPEN) {
            throw new IllegalArgumentException("level must be 0 to " + OPEN + ": " + level);
        }
    }
}
