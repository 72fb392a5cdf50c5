package io.beryldock.forwarding;

import io.beryldock.admission.EntryShedder;
import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestIds;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.retry.Backoff;
import io.beryldock.retry.RetryAccount;
import io.beryldock.retry.RetryBudgets;
import io.beryldock.retry.RetryGate;
import io.beryldock.routing.TargetChooser;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Forwards a call to a target of its service, in as many attempts as its retry allowance, the retry budget and its
 * deadline permit.
 *
 * <p>Thread safe. Each attempt has an id of its own. Except for resends and under the baseline policy, each attempt
 * goes to a target that was not tried before.
 */
public final class CallForwarder {

    private final Ports ports;

    private CallForwarder(Ports ports) {
        this.ports = ports;
    }

    /** Dependencies of the forwarder; {@code losses} accepts nodes whose connection was lost with a call in flight. */
    public record Ports(
            NodeId self,
            Policy policy,
            Supplier<Directory> directory,
            TargetChooser chooser,
            TargetExecutor executor,
            PeerCallClient peers,
            EntryShedder shedder,
            RetryGate retries,
            RetryBudgets budgets,
            RetryTally retryTally,
            Backoff backoff,
            Quarantine quarantine,
            Consumer<NodeDescriptor> losses,
            RequestIds ids,
            TimerService timers,
            EventSink events) {}

    public static CallForwarder create(Ports ports) {
        return new CallForwarder(ports);
    }

    /**
     * Forwards the call; its retries and the grants to its attempts are taken from the account.
     *
     * <p>The future never fails. NOT_RUN is the result only when no attempt can have run.
     */
    CompletableFuture<CallResult> forward(Call call, RetryAccount account, CancelScope scope) {
        AttemptLoop loop = new AttemptLoop(ports, call, account, scope);
        loop.start();
        return loop.result();
    }

    /** Makes one attempt at the target, through the target's node. */
    static CompletableFuture<CallResult> attempt(Ports ports, TargetRecord target, Call call, CancelScope scope) {
        if (target.node().id().equals(ports.self())) {
            return ports.executor().execute(call, scope);
        }
        return ports.peers().send(target.node(), call, ports.chooser().noticeOf(target), scope);
    }
}
