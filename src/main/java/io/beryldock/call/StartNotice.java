package io.beryldock.call;

import java.util.Objects;

/**
 * What the answers of one start of a target have said, as nodes tell it each other.
 *
 * <p>Immutable. It applies to this start only; the next start on the same id, address or port begins without it.
 *
 * @param start identifies the start; not empty
 * @param ratePerSecond requests per second that the target accepts from all nodes together, {@link
 *     TargetNotice#UNLIMITED} if it names no limit
 * @param leaving whether the target has said that it is leaving
 */
public record StartNotice(String start, double ratePerSecond, boolean leaving) {

    public StartNotice {
        Objects.requireNonNull(start, "start");
        if (start.isEmpty() || !(ratePerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "start must not be empty and ratePerSecond not negative: " + start + ", " + ratePerSecond);
        }
    }

    /** Whether the target names a rate limit. */
    public boolean isLimited() {
        return ratePerSecond < TargetNotice.UNLIMITED;
    }
}
