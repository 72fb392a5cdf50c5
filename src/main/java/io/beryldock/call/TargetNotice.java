package io.beryldock.call;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What one answer of a target says about the target itself.
 *
 * <p>Immutable.
 *
 * @param ratePerSecond requests per second that the target accepts from all nodes together, {@link #UNLIMITED} if the
 *     answer names no limit, empty if it names one that cannot be read
 * @param leaving whether the target says that it is leaving
 */
public record TargetNotice(OptionalDouble ratePerSecond, boolean leaving) {

    /** Rate of a target that names no limit. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private static final TargetNotice NONE = new TargetNotice(OptionalDouble.of(UNLIMITED), false);

    public TargetNotice {
        Objects.requireNonNull(ratePerSecond, "ratePerSecond");
        if (!(ratePerSecond.orElse(0) >= 0)) {
            throw new IllegalArgumentException("ratePerSecond must not be negative: " + ratePerSecond);
        }
    }

    /** The notice of an answer that names neither a limit nor a leaving. */
    public static TargetNotice none() {
        return NONE;
    }
}
