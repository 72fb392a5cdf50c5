package io.beryldock.forwarding;

import com.google.common.flogger.FluentLogger;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.NodeId;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.call.TreeCost;
import io.beryldock.membership.TargetRecord;
import io.beryldock.quarantine.Fingerprint;
import io.beryldock.quarantine.Verdict;
import io.beryldock.retry.EndedAttempt;
import io.beryldock.retry.GrantPolicy;
import io.beryldock.retry.RetryAccount;
import io.beryldock.retry.RetryBudget;
import io.beryldock.retry.RetryDecision;
import io.beryldock.retry.RetryGate;
import io.beryldock.retry.RetryGrant;
import io.beryldock.retry.RetryPolicy;
import io.beryldock.routing.CallKind;
import io.beryldock.settings.NodeSettings.Policy;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Runs the attempts of one call, one after the other.
 *
 * <p>Only one step runs at a time, and the end of each step starts the next, so the fields need no lock. Invariant:
 * once an attempt may have run, the result is never NOT_RUN.
 */
final class AttemptLoop {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int BASELINE_TRIES = 3;

    private final CallForwarder.Ports ports;
    private final Call call;
    private final RetryAccount account;
    private final CancelScope scope;
    private final long startNanos;
    private final Fingerprint fingerprint;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final Set<NodeId> tried = new HashSet<>();
    private int tries;
    private int fullRefusals;
    private long spentNanos;
    private TreeCost cost = TreeCost.none();
    private long slowestNanos;
    private boolean mayHaveRun;
    private boolean mayHaveArrived;
    private Optional<CallResult> last = Optional.empty();
    private Optional<CallResult> lastAnswer = Optional.empty();
    private Optional<TargetRecord> nextTarget = Optional.empty();

    AttemptLoop(CallForwarder.Ports ports, Call call, RetryAccount account, CancelScope scope) {
        this.ports = ports;
        this.call = call;
        this.account = account;
        this.scope = scope;
        this.startNanos = now();
        this.fingerprint = Fingerprint.of(call);
    }

    CompletableFuture<CallResult> result() {
        return result;
    }

    void start() {
        budget().onFirstTry();
        if (!call.context().repeat()) {
            ports.retryTally().firstTry(call.caller(), call.service());
        }
        next();
    }

    private RetryBudget budget() {
        return ports.budgets().of(call.caller(), call.service());
    }

    private void next() {
        if (scope.cancelled()) {
            finish(last.orElseGet(() -> CallResult.notRun(Reason.CANCELLED, "before an attempt")));
            return;
        }
        if (remainingNanos() <= 0) {
            finish(last.orElseGet(() -> CallResult.notRun(Reason.DEADLINE_PASSED, "before an attempt")));
            return;
        }
        if (ports.quarantine().verdict(fingerprint) == Verdict.REFUSED) {
            finish(CallResult.notRun(Reason.QUARANTINED, "it was in flight when targets crashed"));
            return;
        }
        Optional<TargetRecord> target = nextTarget.isPresent()
                ? nextTarget
                : ports.chooser().choose(ports.directory().get(), call.service(), tried, Set.of(), call.idempotent());
        if (target.isEmpty()) {
            finish(last.orElseGet(() -> CallResult.notRun(Reason.NO_TARGET, "service " + call.service())));
            return;
        }
        attempt(target.get());
    }

    private void attempt(TargetRecord target) {
        tries++;
        tried.add(target.node().id());
        RetryGrant grant = account.grant(GrantPolicy.standard(), false);
        boolean asSuspect = ports.quarantine().verdict(fingerprint) != Verdict.FREE;
        Call attempt = call.attempt(ports.ids().next(), attemptContext(grant).withSuspect(asSuspect));
        ports.chooser().onStart(target);
        long sent = now();
        CallForwarder.attempt(ports, target, attempt, scope).whenComplete((ended, failure) -> {
            CallResult known = failure == null ? ended : CallResult.unknown(Reason.INTERNAL, failure.toString());
            runOrCompleteUnknown(() -> {
                recordLoss(target, known, asSuspect);
                onEnd(target, grant, known, now() - sent);
            });
        });
    }

    /** Runs a step; completes the call as UNKNOWN if the step fails, so that its caller gets a result. */
    private void runOrCompleteUnknown(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("attempt step of call %s to service %s failed", call.id(), call.service());
            result.complete(CallResult.unknown(Reason.INTERNAL, e.toString()));
        }
    }

    private CallContext attemptContext(RetryGrant grant) {
        CallContext context = call.context();
        long elapsed = context.remainingNanos() - remainingNanos();
        return context.afterNanos(elapsed).withRetryAllowance(grant.amount()).withResent(mayHaveArrived);
    }

    private void onEnd(TargetRecord target, RetryGrant grant, CallResult ended, long latencyNanos) {
        ports.chooser().onResult(target, ended, latencyNanos, CallKind.of(call));
        settle(grant, ended);
        spentNanos += ended.spentNanos();
        cost = cost.plus(ended.cost());
        slowestNanos = Math.max(slowestNanos, latencyNanos);
        mayHaveRun |= ended.outcome() != Outcome.NOT_RUN;
        mayHaveArrived |= RetryGate.mayHaveArrived(ended);
        fullRefusals += ended.reason().filter(RetryPolicy::isFullRefusal).isPresent() ? 1 : 0;
        last = Optional.of(ended);
        lastAnswer = ended.outcome() == Outcome.ANSWERED ? last : lastAnswer;
        if (ended.hasReason(Reason.REPEATS_LIMITED)) {
            budget().onRefused(call.context().priority().rank());
        }
        RetryDecision decision = decide(ended);
        // The level of a target that has used up its rate must not shed calls at their entry that others can serve.
        if (!decision.isRetry() || !ended.hasReason(Reason.RATE_LIMITED)) {
            reportLevels(ended);
        }
        if (decision.isRetry()) {
            retry(decision, target, ended);
        } else {
            finish(ended);
        }
    }

    private void reportLevels(CallResult ended) {
        if (call.caller().equals(Call.OUTSIDE)) {
            ports.shedder().observe(call.service(), call.context().priority().rank(), ended.levels());
        }
    }

    /**
     * Settles the retries granted to an attempt. An attempt that did not run spent none; without a reply the spent part
     * is unknown, so the whole grant counts as lost.
     */
    private static void settle(RetryGrant grant, CallResult ended) {
        if (ended.outcome() == Outcome.NOT_RUN) {
            grant.giveBack(grant.amount());
        } else if (ended.outcome() == Outcome.ANSWERED || nodeReplied(ended)) {
            grant.giveBack(ended.unspentRetries());
        } else {
            grant.lose();
        }
    }

    /** Whether the target's node itself reported the end of the attempt: its replies always contain its own level. */
    private static boolean nodeReplied(CallResult ended) {
        return !ended.levels().isEmpty();
    }

    private void recordLoss(TargetRecord target, CallResult ended, boolean sentAsSuspect) {
        if (ended.outcome() == Outcome.ANSWERED) {
            ports.quarantine().onNodeAnswered(target.node());
        }
        if (ended.hasReason(Reason.TARGET_CRASHED)) {
            ports.quarantine().onTargetCrashReported(fingerprint, target.node(), sentAsSuspect);
        }
        if (ended.hasReason(Reason.CONNECTION_LOST) && !nodeReplied(ended)) {
            ports.quarantine().onNodeLost(fingerprint, target.node(), sentAsSuspect);
            ports.losses().accept(target.node());
            ports.chooser().onNodeLost(target.node().id());
        }
    }

    private RetryDecision decide(CallResult ended) {
        if (ports.policy() == Policy.NONE) {
            return baselineRetry(ended) ? RetryDecision.RETRY_ELSEWHERE : RetryDecision.STOP_USELESS;
        }
        if (ended.succeeded()) {
            // Most calls end here; building the question would look at all targets of the service needlessly.
            return RetryDecision.STOP_ANSWERED;
        }
        EndedAttempt question = new EndedAttempt(
                ended,
                call.idempotent(),
                tries,
                fullRefusals,
                otherTargets(),
                remainingNanos(),
                slowestNanos,
                call.context().priority().rank(),
                ports.quarantine().verdict(fingerprint) != Verdict.FREE);
        RetryDecision decision = ports.retries().decide(question, account, budget());
        count(decision);
        return decision;
    }

    private void retry(RetryDecision decision, TargetRecord target, CallResult ended) {
        boolean resend = decision == RetryDecision.RESEND;
        nextTarget = resend ? Optional.of(target) : freeTarget(ended);
        if (resend || nextTarget.isEmpty()) {
            retryLater();
        } else {
            next();
        }
    }

    /** Returns a free target for a call that a full target refused; a wait would let other calls take the slots. */
    private Optional<TargetRecord> freeTarget(CallResult ended) {
        boolean full = ended.reason().filter(RetryPolicy::isFullRefusal).isPresent();
        return full ? ports.chooser().chooseFree(call.service(), tried, Set.of()) : Optional.empty();
    }

    private void count(RetryDecision decision) {
        switch (decision) {
            case RETRY_ELSEWHERE, RESEND -> ports.retryTally().granted(call.caller(), call.service());
            case STOP_BUDGET_SPENT, STOP_ALLOWANCE_SPENT -> ports.retryTally().refused(call.caller(), call.service());
            default -> {}
        }
    }

    /** The retry rule that is usual without Beryldock: three tries at each layer, regardless of the other layers. */
    private boolean baselineRetry(CallResult ended) {
        boolean safe = ended.outcome() == Outcome.NOT_RUN || call.idempotent();
        return !ended.succeeded() && safe && tries < BASELINE_TRIES;
    }

    private int otherTargets() {
        long left = ports.directory().get().targetsOf(call.service()).stream()
                .filter(target -> !tried.contains(target.node().id()))
                .count();
        return (int) left;
    }

    private void retryLater() {
        if (ports.policy() == Policy.NONE) {
            tried.clear();
        }
        long delay = ports.backoff().delayNanos(tries);
        ports.timers().after(Duration.ofNanos(delay), () -> runOrCompleteUnknown(this::next));
    }

    /**
     * Completes the call. If the last attempt has no answer, the last answer of an earlier attempt takes its place. If
     * there is none, NOT_RUN is replaced by UNKNOWN when an earlier attempt may have run.
     */
    private void finish(CallResult lastResult) {
        CallResult ended = lastResult.answer().isEmpty() ? lastAnswer.orElse(lastResult) : lastResult;
        boolean replaced = mayHaveRun && ended.outcome() == Outcome.NOT_RUN;
        CallResult finalResult = replaced
                ? CallResult.unknown(ended.reason().orElse(Reason.INTERNAL), "an earlier attempt may have run")
                        .withRetryAfterMillis(ended.retryAfterMillis())
                        .withLevels(ended.levels())
                : ended;
        result.complete(finalResult.withSpentNanos(spentNanos).withCost(cost));
    }

    private long remainingNanos() {
        return call.context().remainingNanos() - (now() - startNanos);
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }
}
