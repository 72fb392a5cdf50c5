package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.Objects;
import java.util.Optional;

/**
 * What became of one call.
 *
 * <p>Immutable. There is an answer exactly when the outcome is {@link Outcome#ANSWERED}, a reason exactly when not.
 *
 * @param retryAfterMillis when to come back, 0 when nothing is known
 * @param unspentRetries the part of the call's retry allowance that was not used and returns to the parent
 * @param levels admission levels of the answering service and of those beneath it
 * @param spentNanos target time that the call used, with all beneath it
 * @param cost what the call and all beneath it used, service by service
 * @param load of the target whose node tells the end, empty when no node told it
 * @param detail a sentence for the operator, may be empty
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
            throw new IllegalArgumentException("an answer goes with ANSWERED, a reason with the other outcomes");
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

    /** The request ran nowhere. Only for callers of this method that know so. */
    public static CallResult notRun(Reason reason, String detail) {
        return refused(Outcome.NOT_RUN, reason, detail);
    }

    public static CallResult unknown(Reason reason, String detail) {
        return refused(Outcome.UNKNOWN, reason, detail);
    }

    private static CallResult refused(Outcome outcome, Reason reason, String detail) {
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

    /** Whether a target answered without a failure of its own. */
    public boolean succeeded() {
        return answer.isPresent() && !answer.get().isServerError();
    }

    /** The same end without an answer, for another reason. */
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
