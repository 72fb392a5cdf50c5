package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.Objects;
import java.util.Optional;

/**
 * Result of a call.
 *
 * <p>Immutable. An answer is present if and only if the outcome is {@link Outcome#ANSWERED}; a reason is present if and
 * only if it is not.
 *
 * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 if not known
 * @param unspentRetries the part of the call's retry allowance that was not used and returns to the parent
 * @param levels admission levels of the answering service and of the services below it
 * @param spentNanos target time used by the call and all calls below it, in nanoseconds
 * @param cost use of each service by the call and all calls below it
 * @param load load of the target, as reported by the node that returned the result; empty if no node reported it
 * @param detail explanation for operators, may be empty
 */
public record CallResult(
        Outcome outcome,
        Optional<Answer> answer,
        Optional<Reason> reason,
        String detail,
        long retryAfterMillis,
        int unspentRetries,
        ImmutableList<ServiceLevel> levels,
        long spentNanos,
        TreeCost cost,
        Optional<TargetLoad> load) {

    public CallResult {
        Objects.requireNonNull(levels, "levels");
        Objects.requireNonNull(cost, "cost");
        Objects.requireNonNull(load, "load");
        if (answer.isPresent() != (outcome == Outcome.ANSWERED) || reason.isPresent() == answer.isPresent()) {
            throw new IllegalArgumentException("ANSWERED requires an answer only, any other outcome a reason only");
        }
    }

    public static CallResult answered(Answer answer) {
        return new CallResult(
                Outcome.ANSWERED,
                Optional.of(answer),
                Optional.empty(),
                "",
                0,
                0,
                ImmutableList.of(),
                0,
                TreeCost.none(),
                Optional.empty());
    }

    /** Creates a NOT_RUN result. To be used only if it is certain that the request ran nowhere and will not run. */
    public static CallResult notRun(Reason reason, String detail) {
        return withoutAnswer(Outcome.NOT_RUN, reason, detail);
    }

    public static CallResult unknown(Reason reason, String detail) {
        return withoutAnswer(Outcome.UNKNOWN, reason, detail);
    }

    private static CallResult withoutAnswer(Outcome outcome, Reason reason, String detail) {
        return new CallResult(
                outcome,
                Optional.empty(),
                Optional.of(reason),
                detail,
                0,
                0,
                ImmutableList.of(),
                0,
                TreeCost.none(),
                Optional.empty());
    }

    /** Whether a target answered with a status other than a server error. */
    public boolean succeeded() {
        return answer.isPresent() && !answer.get().isServerError();
    }

    /** Whether there is no answer, for this reason. */
    public boolean hasReason(Reason asked) {
        return reason.isPresent() && reason.get() == asked;
    }

    /** Returns a copy of this result without an answer, with another reason. */
    public CallResult withReason(Reason other) {
        return new CallResult(
                outcome,
                answer,
                Optional.of(other),
                detail,
                retryAfterMillis,
                unspentRetries,
                levels,
                spentNanos,
                cost,
                load);
    }

    public CallResult withRetryAfterMillis(long millis) {
        return new CallResult(outcome, answer, reason, detail, millis, unspentRetries, levels, spentNanos, cost, load);
    }

    public CallResult withUnspentRetries(int unspent) {
        return new CallResult(
                outcome, answer, reason, detail, retryAfterMillis, unspent, levels, spentNanos, cost, load);
    }

    public CallResult withLevels(ImmutableList<ServiceLevel> reported) {
        return new CallResult(
                outcome, answer, reason, detail, retryAfterMillis, unspentRetries, reported, spentNanos, cost, load);
    }

    public CallResult withSpentNanos(long spent) {
        return new CallResult(
                outcome, answer, reason, detail, retryAfterMillis, unspentRetries, levels, spent, cost, load);
    }

    public CallResult withCost(TreeCost used) {
        return new CallResult(
                outcome, answer, reason, detail, retryAfterMillis, unspentRetries, levels, spentNanos, used, load);
    }

    public CallResult withLoad(TargetLoad reported) {
        return new CallResult(
                outcome,
                answer,
                reason,
                detail,
                retryAfterMillis,
                unspentRetries,
                levels,
                spentNanos,
                cost,
                Optional.of(reported));
    }
}
