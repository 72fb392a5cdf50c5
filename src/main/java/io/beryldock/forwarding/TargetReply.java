package io.beryldock.forwarding;

import io.beryldock.call.Answer;
import io.beryldock.call.TargetNotice;
import java.util.Optional;

/**
 * The outcome of an exchange with the target. Immutable.
 *
 * @param answer the complete answer, for {@link Kind#ANSWERED} only
 * @param notice what the target said about itself; empty if it sent no response, or if another target did
 */
public record TargetReply(Kind kind, Optional<Answer> answer, String detail, Optional<TargetNotice> notice) {

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
        return new TargetReply(Kind.ANSWERED, Optional.of(answer), "", Optional.empty());
    }

    public static TargetReply refused(String detail) {
        return withoutAnswer(Kind.REFUSED, detail);
    }

    public static TargetReply notSent(String detail) {
        return withoutAnswer(Kind.NOT_SENT, detail);
    }

    public static TargetReply givenUp(String detail) {
        return withoutAnswer(Kind.GIVEN_UP, detail);
    }

    public static TargetReply lost(String detail) {
        return withoutAnswer(Kind.LOST, detail);
    }

    private static TargetReply withoutAnswer(Kind kind, String detail) {
        return new TargetReply(kind, Optional.empty(), detail, Optional.empty());
    }

    /** Returns this reply with what the target said about itself. */
    public TargetReply withNotice(TargetNotice said) {
        return new TargetReply(kind, answer, detail, Optional.of(said));
    }
}
