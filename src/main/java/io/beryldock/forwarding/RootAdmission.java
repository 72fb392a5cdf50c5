package io.beryldock.forwarding;

import io.beryldock.admission.EntryShedder;
import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.configuration.Route;
import io.beryldock.credit.Claimant;
import io.beryldock.credit.TreeCredits;
import io.beryldock.credit.TreeKey;
import io.beryldock.organisation.Organisation;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.time.Ticker;
import io.beryldock.waiting.EntryAdmission;
import io.beryldock.waiting.EntryDecision;
import io.beryldock.waiting.WaitingRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Decides whether and when a caller's request starts, before any work is spent on it.
 *
 * <p>Where credits govern the call tree of a request, the request starts when credits cover the whole tree, and waits
 * for credits as long as the wait is of use to its caller. Elsewhere the gate levels that answers report decide. Thread
 * safe.
 */
public final class RootAdmission {

    /** Shorter waits are not subtracted from the time left: callers give their time limits in milliseconds. */
    private static final long MIN_DEDUCTED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Ports ports;

    private RootAdmission(Ports ports) {
        this.ports = ports;
    }

    /** Dependencies of the admission. */
    public record Ports(
            Policy policy, EntryShedder shedder, TreeCredits credits, EntryAdmission waiting, Ticker ticker) {}

    public static RootAdmission create(Ports ports) {
        return new RootAdmission(ports);
    }

    /**
     * A caller's request before its first call.
     *
     * @param tree the kind of its call tree
     * @param returned whether the request is a retry after a refusal
     * @param objectiveNanos time left of the objective, within which an answer is worth most; 0 or less for a caller
     *     that is past the objective and still wants an answer
     * @param since time of the ticker from which the times left count
     */
    record Root(
            TreeKey tree,
            Call call,
            Optional<Organisation> organisation,
            boolean returned,
            long objectiveNanos,
            long since) {

        static Root of(
                Route route,
                Call call,
                Optional<Organisation> organisation,
                boolean returned,
                long objectiveNanos,
                long since) {
            TreeKey tree = new TreeKey(route.host() + route.prefix(), call.service());
            return new Root(tree, call, organisation, returned, objectiveNanos, since);
        }

        Claimant claimant() {
            return new Claimant(rank(), organisation.map(Organisation::name));
        }

        int rank() {
            return call.context().priority().rank();
        }

        /** Returns the same request at a later time, with the wait at its entry subtracted from its times left. */
        private Root at(long now) {
            long waited = now - since;
            if (waited < MIN_DEDUCTED_WAIT_NANOS) {
                return this;
            }
            Call left = call.attempt(call.id(), call.context().afterNanos(waited));
            return new Root(tree, left, organisation, returned, objectiveNanos - waited, now);
        }

        private WaitingRequest waiting() {
            return new WaitingRequest(
                    tree,
                    claimant(),
                    returned,
                    objectiveNanos,
                    call.context().remainingNanos(),
                    call.body().size());
        }
    }

    /** Refuses the requests that wait, and those that would have to wait later, because the node stops. */
    void stop() {
        ports.waiting().stop();
    }

    /** Returns the refusal of a request that can be decided on without a wait; empty when the request may go on. */
    Optional<CallResult> refusal(Root root) {
        return ports.credits().requiresCredits(root.tree())
                ? Optional.empty()
                : EntrySheddingCheck.of(ports.policy(), ports.shedder(), root.call())
                        .refusal();
    }

    /** Starts the request when there is room for its call tree; the future completes with the request's result. */
    CompletableFuture<CallResult> start(
            Root root, CancelScope scope, Function<Call, CompletableFuture<CallResult>> dispatch) {
        Root begun = root.at(now());
        if (!ports.credits().requiresCredits(root.tree())) {
            // Reports the demand to the home nodes of services that lack capacity, so that credits can govern later.
            ports.credits().recordDemand(root.tree(), root.claimant());
            return run(begun, begun.call(), dispatch);
        }
        EntryAdmission.Pending pending = ports.waiting().admit(begun.waiting());
        scope.onCancel(pending::cancel);
        return pending.decision().thenCompose(decision -> onDecision(begun.at(now()), decision, dispatch));
    }

    private long now() {
        return ports.ticker().nanos();
    }

    /** Decides by the levels, as for a new request, because credits ceased to govern while the request waited. */
    private CompletableFuture<CallResult> startByLevels(
            Root root, Function<Call, CompletableFuture<CallResult>> dispatch) {
        return EntrySheddingCheck.of(ports.policy(), ports.shedder(), root.call())
                .refusal()
                .map(RootAdmission::completed)
                .orElseGet(() -> run(root, root.call(), dispatch));
    }

    private CompletableFuture<CallResult> onDecision(
            Root root, EntryDecision decision, Function<Call, CompletableFuture<CallResult>> dispatch) {
        return switch (decision.kind()) {
            case COVERED -> dispatchCovered(root, dispatch);
            case NOT_GOVERNED -> startByLevels(root, dispatch);
            case REFUSED -> completed(refused(root, Reason.NO_ROOM_BENEATH, decision.retryAfterMillis()));
            case GONE -> completed(CallResult.notRun(Reason.CANCELLED, "while it waited at its entry"));
        };
    }

    private CompletableFuture<CallResult> dispatchCovered(
            Root root, Function<Call, CompletableFuture<CallResult>> dispatch) {
        Call call = root.call();
        Call covered = call.attempt(call.id(), call.context().withCovered(true));
        return run(root, covered, dispatch).thenApply(result -> {
            if (result.outcome() == Outcome.NOT_RUN) {
                ports.credits().giveBack(root.tree(), root.claimant());
            }
            return result;
        });
    }

    /** Dispatches the call of a root request, and updates the credits from its result. */
    private CompletableFuture<CallResult> run(
            Root root, Call call, Function<Call, CompletableFuture<CallResult>> dispatch) {
        return dispatch.apply(call).thenApply(result -> {
            ports.credits().observe(result.levels());
            if (result.outcome() != Outcome.NOT_RUN) {
                ports.credits().recordTreeCost(root.tree(), result.cost(), result.succeeded());
            }
            return result;
        });
    }

    private static CallResult refused(Root root, Reason reason, long retryAfterMillis) {
        return CallResult.notRun(
                        reason, "class " + root.call().context().priority().name())
                .withRetryAfterMillis(retryAfterMillis)
                .withUnspentRetries(root.call().context().retryAllowance());
    }

    private static CompletableFuture<CallResult> completed(CallResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
