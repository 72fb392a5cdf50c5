package io.beryldock.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.admission.Completion;
import io.beryldock.admission.GateHandle;
import io.beryldock.admission.GateListener;
import io.beryldock.admission.GateRequest;
import io.beryldock.admission.Permit;
import io.beryldock.admission.RequestKind;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TargetLoad;
import io.beryldock.quarantine.Fingerprint;
import io.beryldock.quarantine.LostRun;
import io.beryldock.quarantine.Verdict;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.RetryAccount;
import io.beryldock.time.TimerService.Subscription;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * One run of a call at the target in this node's VM: queued, running, ended.
 *
 * <p>Thread safe. Invariants: the call is sent to the target at most once, only while the run holds a permit, and not
 * after the gate was drained, whatever delays it after its admission; the permit is released when the target has
 * answered, even if the caller gave up earlier, because work that was given up still holds its slot at the target.
 */
final class TargetRun implements GateListener {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long SUSPECT_RETRY_MILLIS = 500;
    private static final int LOG_INTERVAL_SECONDS = 1;

    private final TargetExecutor.Ports ports;
    private final AnnouncedTarget target;
    private final Call call;
    private final Fingerprint fingerprint;
    private final CancelScope scope;
    private final DecisionWriter decisions;
    private final long deadlineNanos;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private Subscription deadline = () -> {};

    @GuardedBy("this")
    private Reason givenUp;

    @GuardedBy("this")
    private Execution execution;

    @GuardedBy("this")
    private GateHandle handle;

    @GuardedBy("this")
    private TargetExchange exchange;

    TargetRun(
            TargetExecutor.Ports ports,
            AnnouncedTarget target,
            Call call,
            Fingerprint fingerprint,
            CancelScope scope,
            DecisionWriter decisions) {
        this.ports = ports;
        this.target = target;
        this.call = call;
        this.fingerprint = fingerprint;
        this.scope = scope;
        this.decisions = decisions;
        this.deadlineNanos = now() + call.context().remainingNanos();
    }

    CompletableFuture<CallResult> result() {
        return result;
    }

    void start() {
        CallContext context = call.context();
        if (!ports.arrivals().admit(call.service(), context)) {
            refuseRepeat();
            return;
        }
        deadline = ports.timers().after(Duration.ofNanos(context.remainingNanos()), () -> giveUp(Reason.TIMED_OUT));
        GateRequest request = new GateRequest(
                call.id(),
                context.priority().rank(),
                context.callerHash(),
                context.sunkNanos(),
                context.remainingNanos(),
                context.covered(),
                RequestKind.of(call));
        GateHandle submitted = target.gate().submit(request, this);
        synchronized (this) {
            handle = submitted;
        }
        scope.onCancel(() -> giveUp(Reason.CANCELLED));
        if (isGivenUp()) {
            submitted.cancel();
        }
    }

    private boolean isGivenUp() {
        return reasonGivenUp().isPresent();
    }

    private synchronized Optional<Reason> reasonGivenUp() {
        return Optional.ofNullable(givenUp);
    }

    @Override
    public void refused(Reason reason, long retryAfterMillis) {
        Reason reported;
        synchronized (this) {
            reported = givenUp == Reason.TIMED_OUT ? Reason.DEADLINE_PASSED : reason;
        }
        refuse(reported, "refused at the gate of " + call.service(), retryAfterMillis);
    }

    /**
     * Delays a request whose earlier run here was just lost until it is known whether that run crashed the target. The
     * request keeps its permit meanwhile.
     */
    @Override
    public void admitted(Permit permit) {
        long admittedAt = now();
        beginOnceDecided(permit, admittedAt);
    }

    private void beginOnceDecided(Permit permit, long admittedAt) {
        Optional<CompletableFuture<TargetProcessState>> undecided =
                ports.crashes().undecided(fingerprint);
        if (undecided.isPresent()) {
            undecided.get().thenAccept(state -> beginOnceDecided(permit, admittedAt));
        } else {
            begin(permit, admittedAt);
        }
    }

    private void begin(Permit permit, long admittedAt) {
        if (isGivenUp()) {
            permit.release(Completion.FAILED);
            refused(Reason.CANCELLED, 0);
            return;
        }
        Verdict verdict = ports.quarantine().start(fingerprint, call.context().suspect());
        if (verdict == Verdict.REFUSED) {
            permit.release(Completion.REFUSED_BY_TARGET);
            refuse(Reason.SHED_AT_TARGET, "a request that was in flight at a crash runs alone", SUSPECT_RETRY_MILLIS);
            return;
        }
        Optional<ArrivalControl.Sending> arrival = ports.arrivals().onSend(call.service(), call.context());
        if (arrival.isEmpty()) {
            permit.release(Completion.REFUSED_BY_TARGET);
            ports.quarantine().onAbandoned(fingerprint);
            refuseRepeat();
            return;
        }
        Execution started = open();
        CallContext context = call.context();
        Call sent =
                call.attempt(call.id(), context.afterNanos(context.remainingNanos() - started.remainingNanos(now())));
        TargetProcess process = ports.crashes().processOf(target.address());
        long sentAt = now();
        TargetExchange sending = ports.client().send(sent, () -> isSendable(admittedAt));
        synchronized (this) {
            exchange = sending;
        }
        sending.reply().thenAccept(reply -> {
            if (reply.kind() == TargetReply.Kind.NOT_SENT) {
                arrival.get().onNotSent();
            }
            // Before the permit is released, which admits the next request.
            reply.notice().ifPresent(notice -> target.gate().onNotice(notice, sentAt));
            onReply(started, permit, process, verdict, reply);
        });
        if (isGivenUp()) {
            abort(sending);
        }
    }

    /** Whether the target still takes requests; it may have left since the gate admitted this one. */
    private boolean isSendable(long admittedAt) {
        boolean sendable = !target.gate().isDraining();
        if (!sendable) {
            log.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "request %s is not sent: its target has left, and the gate admitted it %d ms ago",
                    call.id(), TimeUnit.NANOSECONDS.toMillis(now() - admittedAt));
        }
        return sendable;
    }

    private void refuseRepeat() {
        refuse(Reason.REPEATS_LIMITED, "repeats of calls to " + call.service(), 0);
    }

    /** Ends the call, which was not sent to the target; its retry allowance is returned whole. */
    private void refuse(Reason reason, String detail, long retryAfterMillis) {
        finish(CallResult.notRun(reason, detail)
                .withRetryAfterMillis(retryAfterMillis)
                .withUnspentRetries(call.context().retryAllowance()));
    }

    private Execution open() {
        RetryAccount account = ports.ledger().open(call.id(), call.context().retryAllowance());
        Execution started = new Execution(call, account, scope.child(), now(), deadlineNanos);
        ports.executions().add(started);
        synchronized (this) {
            execution = started;
        }
        return started;
    }

    private void onReply(Execution started, Permit permit, TargetProcess process, Verdict verdict, TargetReply reply) {
        permit.release(completion(reply));
        CallResult ended = close(started, toResult(reply));
        if (isGivenUp() && TargetExecutor.isKeyed(call)) {
            // The caller got UNKNOWN; its next try under the same key finds the answer.
            ports.guard().recordLateAnswer(call, ended);
        }
        switch (reply.kind()) {
            case ANSWERED -> {
                ports.quarantine().onCompleted(fingerprint);
                finish(ended);
            }
            case REFUSED, NOT_SENT, GIVEN_UP -> {
                ports.quarantine().onAbandoned(fingerprint);
                finish(ended);
            }
            // Applies also when the caller has gone: the lost request may still have crashed the target.
            case LOST ->
                ports.crashes()
                        .onLost(target, process, new LostRun(fingerprint, verdict == Verdict.ALONE))
                        .thenAccept(state -> finish(withCrashReason(ended, state)));
        }
    }

    /**
     * Aborts an idempotent call that no one waits for, so that it frees its slot. A non-idempotent call runs to its
     * end, because otherwise the caller could not learn whether it took effect.
     */
    private void abort(TargetExchange running) {
        if (call.idempotent()) {
            running.abort().run();
        }
    }

    private Completion completion(TargetReply reply) {
        Optional<Reason> ended = reasonGivenUp();
        if (ended.filter(Reason.CANCELLED::equals).isPresent() && isUnanswered(reply)) {
            return Completion.FAILED;
        }
        if (ended.isPresent()) {
            return Completion.ABANDONED_DONE;
        }
        return switch (reply.kind()) {
            case ANSWERED -> succeeded(reply) ? Completion.SUCCEEDED : Completion.FAILED;
            case REFUSED -> Completion.REFUSED_BY_TARGET;
            case NOT_SENT, LOST, GIVEN_UP -> Completion.FAILED;
        };
    }

    private static boolean isUnanswered(TargetReply reply) {
        return reply.kind() == TargetReply.Kind.LOST || reply.kind() == TargetReply.Kind.GIVEN_UP;
    }

    private static boolean succeeded(TargetReply reply) {
        return reply.answer().filter(answer -> !answer.isServerError()).isPresent();
    }

    private static CallResult withCrashReason(CallResult lost, TargetProcessState state) {
        return state == TargetProcessState.ENDED ? lost.withReason(Reason.TARGET_CRASHED) : lost;
    }

    private CallResult toResult(TargetReply reply) {
        return switch (reply.kind()) {
            case ANSWERED -> CallResult.answered(reply.answer().orElseThrow());
            case REFUSED -> CallResult.notRun(Reason.TARGET_REFUSED, reply.detail());
            case NOT_SENT -> CallResult.notRun(unsentReason(), reply.detail());
            case LOST -> CallResult.unknown(Reason.CONNECTION_LOST, reply.detail());
            case GIVEN_UP -> CallResult.unknown(Reason.TIMED_OUT, reply.detail());
        };
    }

    private Reason unsentReason() {
        return target.gate().isDraining() ? Reason.DRAINING : Reason.CONNECT_FAILED;
    }

    /** Ends the execution: cancels its inner calls and returns its unspent retries with the result. */
    private CallResult close(Execution started, CallResult ended) {
        ports.executions().remove(call.id());
        int unspent = started.account().close();
        started.scope().cancel();
        long now = now();
        return ended.withUnspentRetries(unspent)
                .withSpentNanos(started.spentNanos(now))
                .withCost(started.cost(now));
    }

    /** Gives up the call after a time-out or cancellation: a queued call is refused, a running one ends UNKNOWN. */
    private void giveUp(Reason reason) {
        Execution running;
        GateHandle submitted;
        TargetExchange sending;
        synchronized (this) {
            if (givenUp != null || result.isDone()) {
                return;
            }
            givenUp = reason;
            running = execution;
            submitted = handle;
            sending = exchange;
        }
        if (submitted != null) {
            submitted.cancel();
        }
        if (running != null) {
            finish(close(running, CallResult.unknown(reason, "the target was still running it")));
        }
        if (sending != null) {
            abort(sending);
        }
    }

    private void finish(CallResult ended) {
        deadline.cancel();
        TargetLoad load = target.gate().load();
        ports.loads().accept(load);
        if (result.complete(ended.withLevels(levels()).withLoad(load))) {
            decisions.ended(call, ended, target.gate());
        }
    }

    private ImmutableList<ServiceLevel> levels() {
        ServiceLevel own = new ServiceLevel(call.service(), target.gate().level());
        Execution running;
        synchronized (this) {
            running = execution;
        }
        return running == null ? ImmutableList.of(own) : running.innerLevels().with(own);
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }
}
