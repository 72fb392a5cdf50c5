package io.beryldock.call;

/** Outcome of a request, as returned to the caller in the header {@code Beryldock-Outcome}. */
public enum Outcome {
    /** The result contains the target's complete answer to this request. */
    ANSWERED(1),
    /** The request ran nowhere and will not run; reported only where this is certain. */
    NOT_RUN(2),
    /** The request may have run, may be running or may still run; its outcome cannot be determined. */
    UNKNOWN(3);

    private final int number;

    Outcome(int number) {
        this.number = number;
    }

    /** Wire representation; must not change. */
    public int number() {
        return number;
    }

    /** Decodes a wire number; an undefined number yields {@link #UNKNOWN}, which makes no guarantee. */
    public static Outcome ofNumber(int number) {
        return switch (number) {
            case 1 -> ANSWERED;
            case 2 -> NOT_RUN;
            default -> UNKNOWN;
        };
    }
}
