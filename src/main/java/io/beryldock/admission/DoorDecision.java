package io.beryldock.admission;

/**
 * Decision of an entry node on whether a request may start.
 *
 * <p>Immutable.
 *
 * @param retryAfterMillis delay after which a shed caller may retry, 0 for an admitted request
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
