package io.beryldock.admission;

/**
 * Whether a request may start.
 *
 * <p>Immutable.
 *
 * @param retryAfterMillis when a shed caller may come back, 0 for an admitted one
 */
public record DoorDecision(boolean admitted, long retryAfterMillis) {

    private static final DoorDecision ADMITTED = new DoorDecision(true, 0);

    static DoorDecision admit() {
        return ADMITTED;
    }

    static DoorDecision shed(long retryAfterMillis) {
        return new DoorDecision(false, retryAfterMillis);
    }
}
