package io.beryldock.call;

/** What became of a request, as told to its caller in the header {@code Beryldock-Outcome}. */
public enum Outcome {
    /** The target's complete answer to this very request is in the result. */
    ANSWERED(1),
    /** The request ran nowhere and will not run; said only by whoever can know. */
    NOT_RUN(2),
    /** The request may have run, may be running or may still run; nobody can say. */
    UNKNOWN(3);

    private final int number;

    Outcome(int number) {
        this.number = number;
    }

    /** The form between nodes, which never changes. */
    public int number() {
        return number;
    }

    /** The outcome of that number; {@link #UNKNOWN}, which promises nothing, for any other. */
    public static Outcome ofNumber(int number) {
        return switch (number) {
            case 1 -> ANSWERED;
            case 2 -> NOT_RUN;
            default -> UNKNOWN;
        };
    }
}
