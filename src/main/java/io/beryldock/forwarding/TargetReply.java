package io.beryldock.forwarding;

import io.beryldock.call.Answer;
import java.util.Optional;

/**
 * How an exchange with the target ended. Immutable.
 *
 * @param answer the complete answer, for {@link Kind#ANSWERED} only
 */
public record TargetReply(Kind kind, Optional<Answer> answer, String detail) {

    /** The ways an exchange ends. */
    public enum Kind {
        ANSWERED,
        /** The target's own explicit marker: it refused the request before running it. */
        REFUSED,
        /** Not one byte of the request reached the target. */
        NOT_SENT,
        /** The target's end of the connection was lost; the request may have run. */
        LOST,
        /** This node closed the connection, as nobody waits or the time is over; the request may have run. */
        GIVEN_UP
    }

    public static TargetReply answered(Answer answer) {
        return new TargetReply(Kind.ANSWERED, Optional.of(answer), "");
    }

    public static TargetReply refused(String detail) {
        return new TargetReply(Kind.REFUSED, Optional.empty(), detail);
    }

    public static TargetReply notSent(String detail) {
        return new TargetReply(Kind.NOT_SENT, Optional.empty(), detail);
    }

    public static TargetReply givenUp(String detail) {
        return new TargetReply(Kind.GIVEN_UP, Optional.empty(), detail);
    }

    public static TargetReply lost(String detail) {
        return new TargetReply(Kind.LOST, Optional.empty(), detail);
    }
}
