package io.beryldock.forwarding;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.call.StartNotice;
import io.beryldock.call.TargetLoad;
import io.beryldock.idempotency.CallerIdentity;
import io.beryldock.idempotency.RunGuard;
import io.beryldock.logging.DecisionLog;
import io.beryldock.quarantine.Fingerprint;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.quarantine.Verdict;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.RetryLedger;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs calls at the target in this node's VM, each after admission by the gate.
 *
 * <p>Thread safe. This node decides, whatever other nodes assume: it refuses with NOT_RUN a call for a target that
 * has left or is drained.
 */
public final class TargetExecutor {

    private final Ports ports;
    private final DecisionWriter decisions;

    private TargetExecutor(Ports ports) {
        this.ports = ports;
        this.decisions =
                new DecisionWriter("gate", DecisionLog.create(ports.timers().ticker()));
    }

    /** Dependencies of the executor; {@code loads} accepts the gate's load at the end of each call. */
    public record Ports(
            Supplier<Optional<AnnouncedTarget>> target,
            TargetClient client,
            ExecutionRegistry executions,
            RetryLedger ledger,
            Quarantine quarantine,
            RunGuard guard,
            TargetCrashDetector crashes,
            Consumer<TargetLoad> loads,
            ArrivalControl arrivals,
            TimerService timers,
            EventSink events) {}

    public static TargetExecutor create(Ports ports) {
        return new TargetExecutor(ports);
    }

    /** Applies what another node was told by answers of the target in this VM. */
    void onPeerNotice(StartNotice notice) {
        ports.target().get().ifPresent(target -> target.gate().onPeerNotice(notice));
    }

    /** Runs the call; cancelling the scope gives it up. The future never fails. */
    public CompletableFuture<CallResult> execute(Call call, CancelScope scope) {
        if (!isKeyed(call)) {
            return admit(call, scope);
        }
        // A second copy of a keyed call must find its first run before any check here can refuse the copy. The run has
        // its own scope: when the ticket's home node fails, its connection is lost, and giving up the run for that
        // reason would discard the answer that the caller's next try can still find here.
        return ports.guard().run(call, new CallerIdentity(call.identity()), () -> admit(call, CancelScope.create()));
    }

    /** Whether the call comes from the home node of its ticket. */
    static boolean isKeyed(Call call) {
        return call.key().isPresent() && !call.identity().isEmpty();
    }

    private CompletableFuture<CallResult> admit(Call call, CancelScope scope) {
        Optional<AnnouncedTarget> target =
                ports.target().get().filter(found -> found.service().equals(call.service()));
        if (target.isEmpty()) {
            CallResult refusal = CallResult.notRun(Reason.NO_TARGET, "this node has no target of " + call.service());
            return completed(refusal, call);
        }
        Fingerprint fingerprint = Fingerprint.of(call);
        if (ports.quarantine().verdict(fingerprint) == Verdict.REFUSED) {
            return completed(CallResult.notRun(Reason.QUARANTINED, "it was in flight when targets crashed"), call);
        }
        TargetRun run = new TargetRun(ports, target.get(), call, fingerprint, scope, decisions);
        run.start();
        return run.result();
    }

    /** Completes with a refusal before anything was spent: the whole retry allowance is returned. */
    private CompletableFuture<CallResult> completed(CallResult refusal, Call call) {
        decisions.ended(call, refusal);
        int unspent = call.context().retryAllowance();
        return CompletableFuture.completedFuture(refusal.withUnspentRetries(unspent));
    }
}
