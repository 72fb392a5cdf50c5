package io.beryldock.forwarding;

import io.beryldock.admission.DoorShedder;
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
 * <p>Where credits govern a request's tree it starts when they cover all of it, and waits for them as long as that
 * serves its caller. Elsewhere the levels that answers report decide. Thread safe.
 */
public final class RootAdmission {

    /** Shorter waits change nothing beneath: callers name their time in milliseconds. */
    private static final long SHORTEST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Ports ports;

    private RootAdmission(Ports ports) {
        this.ports = ports;
    }

    /** What the admission works with. */
    public record Ports(Policy policy, DoorShedder door, TreeCredits credits, EntryAdmission waiting, Ticker ticker) {}

    public static RootAdmission create(Ports ports) {
        return new RootAdmission(ports);
    }

    /**
     * A caller's request before its first call.
     *
     * @param tree its kind
     * @param returned whether its caller was refused before and comes back
     * @param objectiveNanos time left of that within which an answer is worth most; 0 or less for a caller who is
     *     past it and still wants an answer
     * @param since time of the ticker at which the times left were told
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

        /** The same request at a later time: what waited at its entry has that much less time beneath it. */
        private Root at(long now) {
            long waited = now - since;
            if (waited < SHORTEST_WAIT_NANOS) {
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

    /** Who waits is refused now, and so is who would wait later: the node stops. */
    void stop() {
        ports.waiting().stop();
    }

    /** The refusal of a request that needs not wait to be decided over; empty when it may go on. */
    Optional<CallResult> refusal(Root root) {
        return ports.credits().governs(root.tree())
                ? Optional.empty()
                : DoorCheck.of(ports.policy(), ports.door(), root.call()).refusal();
    }

    /** Starts the request when there is room for its tree; the future completes with what became of it. */
    CompletableFuture<CallResult> start(
            Root root, CancelScope scope, Function<Call, CompletableFuture<CallResult>> dispatch) {
        Root begun = root.at(now());
        if (!ports.credits().governs(root.tree())) {
            // The homes of services that have become short hear of the demand, so that credits can govern from then on.
            ports.credits().demand(root.tree(), root.claimant());
            return run(begun, begun.call(), dispatch);
        }
        EntryAdmission.Pending pending = ports.waiting().admit(begun.waiting());
        scope.onCancel(pending::leave);
        return pending.decision().thenCompose(decision -> onDecision(begun.at(now()), decision, dispatch));
    }

    private long now() {
        return ports.ticker().nanos();
    }

    /** Credits have ceased to govern while the request waited: the levels decide over it as over new ones. */
    private CompletableFuture<CallResult> startByLevels(
            Root root, Function<Call, CompletableFuture<CallResult>> dispatch) {
        return DoorCheck.of(ports.policy(), ports.door(), root.call())
                .refusal()
                .map(RootAdmission::finished)
                .orElseGet(() -> run(root, root.call(), dispatch));
    }

    private CompletableFuture<CallResult> onDecision(
            Root root, EntryDecision decision, Function<Call, CompletableFuture<CallResult>> dispatch) {
        return switch (decision.kind()) {
            case COVERED -> dispatchCovered(root, dispatch);
            case NOT_GOVERNED -> startByLevels(root, dispatch);
            case REFUSED -> finished(refused(root, Reason.NO_ROOM_BENEATH, decision.retryAfterMillis()));
            case GONE -> finished(CallResult.notRun(Reason.CANCELLED, "while it waited at its entry"));
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

    /** Dispatches the call of a root request and learns from its end. */
    private CompletableFuture<CallResult> run(
            Root root, Call call, Function<Call, CompletableFuture<CallResult>> dispatch) {
        return dispatch.apply(call).thenApply(result -> {
            ports.credits().observe(result.levels());
            if (result.outcome() != Outcome.NOT_RUN) {
                ports.credits().ended(root.tree(), result.cost(), result.succeeded());
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

    private static CompletableFuture<CallResult> finished(CallResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
