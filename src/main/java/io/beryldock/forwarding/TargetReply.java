package io.beryldock.forwarding;

import io.beryldock.call.Answer;
import java.util.Optional;

/**
 * The outcome of an exchange with the target. Immutable.
 *
 * @param answer the complete answer, for {@link Kind#ANSWERED} only
 */
public record TargetReply(Kind kind, Optional<Answer> answer, String detail) {

    /** The ways in which an exchange ends. */
    public enum Kind {
        ANSWERED,
        /** The target refused the request before running it, and said so with an explicit marker. */
        REFUSED,
        /** No byte of the request reached the target. */
        NOT_SENT,
        /** The connection was lost at the target's end; the request may have run. */
        LOST,
        /** This node closed the connection because no one waits or the time is over; the request may have run. */
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
