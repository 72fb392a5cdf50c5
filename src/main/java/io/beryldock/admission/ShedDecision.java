package io.beryldock.admission;

/**
 * Decision of an entry node on whether a request may start.
 *
 * <p>Immutable.
 *
 * @param retryAfterMillis delay after which a shed caller may retry, 0 for an admitted request
 */
public record ShedDecision(boolean admitted, long retryAfterMillis) {

    private static final ShedDecision ADMITTED = new ShedDecision(true, 0);

    static ShedDecision admit() {
        return ADMITTED;
    }

    static ShedDecision shed(long retryAfterMillis) {
        return new ShedDecision(false, retryAfterMillis);
    }
}
