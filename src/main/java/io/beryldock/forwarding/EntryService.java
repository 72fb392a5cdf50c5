package io.beryldock.forwarding;

import io.beryldock.admission.CallerHash;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.Route;
import io.beryldock.forwarding.CallerAccess.Access;
import io.beryldock.forwarding.InnerCallDetector.InnerCaller;
import io.beryldock.idempotency.CallerIdentity;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.quota.QuotaLimiter;
import io.beryldock.retry.GrantPolicy;
import io.beryldock.retry.RetryAccount;
import io.beryldock.retry.RetryGrant;
import io.beryldock.retry.RetryLedger;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.time.Ticker;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Handles requests from callers and inner calls from the target: finds the route, sets the call context and sheds load
 * at the entry.
 *
 * <p>Thread safe. A caller's request starts a call tree with its own retry allowance; an inner call draws on the
 * allowance of the call whose run made it.
 */
public final class EntryService implements RequestHandler {

    private static final PriorityClass ORPHAN_CLASS = PriorityClass.of("no-context", PriorityClass.LOWEST_RANK);

    /**
     * Target time assumed to be spent above an inner call of unknown parent: enough for the call to go before calls
     * that begin a tree.
     */
    private static final long UNKNOWN_PARENT_SUNK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Ports ports;
    private final ClientRetryDetector clientRetries;
    private volatile boolean refusing;

    private EntryService(Ports ports) {
        this.ports = ports;
        this.clientRetries = new ClientRetryDetector(ports.ticker());
    }

    /**
     * Dependencies of the service.
     *
     * @param epoch numbers the periods in which a caller's hash stays the same
     * @param random a thread-safe generator
     */
    public record Ports(
            Policy policy,
            Supplier<Configuration> configuration,
            CallerAccess access,
            QuotaLimiter quotas,
            RootAdmission admission,
            RetryLedger ledger,
            ExecutionRegistry executions,
            InnerCallDetector innerCalls,
            CallForwarder forwarder,
            KeyedRequestHandler keyed,
            RequestIds ids,
            LongSupplier epoch,
            RandomGenerator random,
            Ticker ticker,
            RequestTally tally,
            RequestJournal journal) {}

    public static EntryService create(Ports ports) {
        return new EntryService(ports);
    }

    /** Refuses callers' requests from now on, because the node is about to stop. */
    public void refuseNew() {
        refusing = true;
        ports.admission().stop();
    }

    @Override
    public CompletableFuture<RequestOutcome> handle(IncomingRequest request, CancelScope scope) {
        RequestId id = ports.ids().next();
        Optional<Route> route = ports.configuration().get().find(request.host(), request.method(), request.path());
        if (route.isEmpty()) {
            CallResult refusal = CallResult.notRun(Reason.NO_ROUTE, request.method() + " " + request.path());
            return CompletableFuture.completedFuture(new RequestOutcome(id, refusal));
        }
        OrganisationTable organisations = ports.configuration().get().organisations();
        Optional<InnerCaller> innerCaller = innerCaller(request, route.get(), organisations);
        if (innerCaller.isPresent()) {
            return handleWithoutContext(request, route.get(), id, innerCaller.get(), scope);
        }
        if (request.origin() != IncomingRequest.Origin.TARGET) {
            if (refusing) {
                return CompletableFuture.completedFuture(new RequestOutcome(id, stopping(request)));
            }
            Access access = ports.access().check(organisations, route.get().open(), request.credentials());
            return access.refusal()
                    .map(refusal -> CompletableFuture.completedFuture(new RequestOutcome(id, refusal)))
                    .orElseGet(() -> handleRoot(request, route.get(), id, access.organisation(), scope));
        }
        return handleInner(request, route.get(), id, scope);
    }

    private Optional<InnerCaller> innerCaller(IncomingRequest request, Route route, OrganisationTable organisations) {
        boolean needsKey = !organisations.isEmpty() && !route.open();
        return request.origin() == IncomingRequest.Origin.EITHER && !needsKey
                ? ports.innerCalls().caller(route, request.timeLimit(), request.parentTag())
                : Optional.empty();
    }

    /** A keyed request ends UNKNOWN: NOT_RUN would apply to its key, under which an earlier request may have run. */
    private static CallResult stopping(IncomingRequest request) {
        String detail = "this node is stopping; send the request to another one";
        return request.key().isPresent()
                ? CallResult.unknown(Reason.DRAINING, detail)
                : CallResult.notRun(Reason.DRAINING, detail);
    }

    private CompletableFuture<RequestOutcome> handleRoot(
            IncomingRequest request,
            Route route,
            RequestId id,
            Optional<Organisation> organisation,
            CancelScope scope) {
        Configuration configuration = ports.configuration().get();
        long elapsed = clientRetries.elapsedNanos(route, request.timeLimit());
        int hash = callerHash(request, elapsed > 0);
        PriorityClass priority = configuration.priorityOf(route, organisation);
        int retries = configuration.budgetOf(route).retries();
        long remaining = allowedNanos(request, route);
        CallContext context = new CallContext(id, id, priority, remaining, retries, 0, hash, 0, false);
        Call call =
                call(request, route, id, Call.OUTSIDE, context).forOrganisation(organisation.map(Organisation::name));
        ports.tally().onStart(priority);
        RetryAccount account = ports.ledger().open(id, retries);
        long objective = objectiveNanos(route, remaining, elapsed);
        RootAdmission.Root root = RootAdmission.Root.of(
                route,
                call,
                organisation,
                elapsed > 0,
                objective,
                ports.ticker().nanos());
        return admitAndDispatch(request, root, account, scope).thenApply(result -> {
            int unspent = account.close();
            ports.tally().onEnd(priority, result, retries - unspent);
            ports.journal().ended(call, result);
            return new RequestOutcome(id, result);
        });
    }

    private int callerHash(IncomingRequest request, boolean returned) {
        int hash = CallerHash.of(request.identity(), ports.epoch().getAsLong());
        return returned ? CallerHash.returned(hash) : hash;
    }

    /** Returns the time left of the objective; 0 or less for a caller that is past it and still wants an answer. */
    private static long objectiveNanos(Route route, long remainingNanos, long elapsedNanos) {
        return Math.min(route.objective().toNanos() - elapsedNanos, remainingNanos);
    }

    /** Does not shed a keyed request before its key is looked up: one that has already run must get its answer. */
    private CompletableFuture<CallResult> admitAndDispatch(
            IncomingRequest request, RootAdmission.Root root, RetryAccount account, CancelScope scope) {
        boolean keyed = isKeyed(root.call());
        Optional<CallResult> refusal =
                keyed ? Optional.empty() : ports.admission().refusal(root);
        if (refusal.isPresent()) {
            return CompletableFuture.completedFuture(refusal.get());
        }
        Supplier<CompletableFuture<CallResult>> start = keyed
                ? () -> dispatch(request, root.call(), account, scope)
                : () -> ports.admission().start(root, scope, call -> dispatch(request, call, account, scope));
        return root.organisation().isPresent()
                ? startWithinQuota(root.organisation().get(), start)
                : start.get();
    }

    /** Counts only requests that run: a request that is refused further down returns its share of the quota. */
    private CompletableFuture<CallResult> startWithinQuota(
            Organisation organisation, Supplier<CompletableFuture<CallResult>> start) {
        return ports.quotas().admit(organisation).thenCompose(decision -> {
            if (!decision.granted()) {
                CallResult refusal = CallResult.notRun(Reason.OVER_QUOTA, "organisation " + organisation.name());
                return CompletableFuture.completedFuture(refusal.withRetryAfterMillis(decision.retryAfterMillis()));
            }
            return start.get().whenComplete((result, failure) -> {
                if (failure == null && result.outcome() == Outcome.NOT_RUN) {
                    ports.quotas().giveBack(organisation);
                }
            });
        });
    }

    private static boolean isKeyed(Call call) {
        return !call.idempotent() && call.key().isPresent();
    }

    private CompletableFuture<RequestOutcome> handleInner(
            IncomingRequest request, Route route, RequestId id, CancelScope scope) {
        Optional<ContextHeader> header = request.context().flatMap(ContextHeader::parse);
        Optional<Execution> parent = header.flatMap(found -> ports.executions().find(found.call()));
        if (parent.isEmpty()) {
            return handleOrphan(request, route, id, header, scope);
        }
        Execution execution = parent.get();
        Call call = call(request, route, id, execution.call().service(), innerContext(execution, route));
        if (!route.idempotent()
                && call.context().retriedAncestor()
                && request.key().isEmpty()) {
            CallResult refusal = CallResult.notRun(Reason.UNSAFE_UNDER_RETRY, "route " + route.prefix());
            return CompletableFuture.completedFuture(
                    new RequestOutcome(call.context().root(), refusal));
        }
        execution.scope().onCancel(scope::cancel);
        return dispatch(request, call, execution.account(), scope).thenApply(result -> {
            execution.onInnerEnd(call.service(), result);
            ports.journal().ended(call, result);
            return new RequestOutcome(call.context().root(), result);
        });
    }

    private CallContext innerContext(Execution parent, Route route) {
        CallContext above = parent.call().context();
        long remaining = Math.min(
                parent.remainingNanos(ports.ticker().nanos()), route.deadline().toNanos());
        return contextBeneath(
                parent, remaining, 0, above.retriedAncestor() || parent.call().idempotent());
    }

    private CallContext contextBeneath(Execution parent, long remainingNanos, int retries, boolean retriedAncestor) {
        CallContext above = parent.call().context();
        return new CallContext(
                above.root(),
                parent.call().id(),
                above.priority(),
                remainingNanos,
                retries,
                above.depth() + 1,
                above.callerHash(),
                parent.sunkNanos(ports.ticker().nanos()),
                retriedAncestor,
                above.covered(),
                above.repeat(),
                false,
                false);
    }

    /**
     * Handles an inner call without a context header, with its parent run where that could be determined.
     *
     * <p>The call takes the rank and the caller hash of its parent, so that a gate beneath can attribute its demand to
     * callers' requests. Otherwise all of this demand appears to come from one caller of one rank: the gate's level
     * sheds whole ranks at the entries instead of a part of a rank, and the gate's measurements never restore the
     * level.
     *
     * <p>The call is not shed at the entry, because a refusal would waste the target time spent above it. It does not
     * join the parent's cancel scope, because the parent may be inferred from the time left only, and the target itself
     * ends the inner calls of a run that was given up.
     */
    private CompletableFuture<RequestOutcome> handleWithoutContext(
            IncomingRequest request, Route route, RequestId id, InnerCaller caller, CancelScope scope) {
        Configuration configuration = ports.configuration().get();
        int retries = configuration.budgetOf(route).retries();
        long allowed = allowedNanos(request, route);
        CallContext context = caller.parent()
                .map(parent -> contextBeneath(parent, allowed, retries, false))
                .orElseGet(() -> contextOfUnknownParent(id, configuration.priorityOf(route), allowed, retries)
                        .withRepeat(caller.endedRepeat()));
        Call call = call(request, route, id, caller.service(), context);
        return dispatchOnOwnAccount(request, call, retries, scope).thenApply(result -> {
            caller.parent().ifPresent(parent -> parent.onInnerEnd(call.service(), result));
            ports.journal().ended(call, result);
            return new RequestOutcome(id, result);
        });
    }

    /** Draws the caller hash at random, so that such calls spread over the callers of their rank like their parents. */
    private CallContext contextOfUnknownParent(RequestId id, PriorityClass priority, long allowedNanos, int retries) {
        int hash = ports.random().nextInt();
        return new CallContext(id, id, priority, allowedNanos, retries, 1, hash, UNKNOWN_PARENT_SUNK_NANOS, false);
    }

    /** Handles an inner call whose parent this node does not know: the node restarted or the header is missing. */
    private CompletableFuture<RequestOutcome> handleOrphan(
            IncomingRequest request, Route route, RequestId id, Optional<ContextHeader> header, CancelScope scope) {
        long own = allowedNanos(request, route);
        long remaining = header.map(found -> Math.min(own, TimeUnit.MILLISECONDS.toNanos(found.remainingMillis())))
                .orElse(own);
        CallContext context = new CallContext(
                header.map(ContextHeader::root).orElse(id),
                header.map(ContextHeader::call).orElse(id),
                header.map(ContextHeader::priority).orElse(ORPHAN_CLASS),
                remaining,
                0,
                header.map(ContextHeader::depth).orElse(0) + 1,
                header.map(ContextHeader::callerHash).orElseGet(ports.random()::nextInt),
                0,
                false);
        Call call = call(request, route, id, Call.OUTSIDE, context);
        return dispatchOnOwnAccount(request, call, 0, scope)
                .thenApply(result -> new RequestOutcome(context.root(), result));
    }

    /** Dispatches a call with a retry account of its own instead of its parent's. */
    private CompletableFuture<CallResult> dispatchOnOwnAccount(
            IncomingRequest request, Call call, int retries, CancelScope scope) {
        RetryAccount account = ports.ledger().open(call.id(), retries);
        return dispatch(request, call, account, scope).thenApply(result -> {
            account.close();
            return result;
        });
    }

    private CompletableFuture<CallResult> dispatch(
            IncomingRequest request, Call call, RetryAccount account, CancelScope scope) {
        if (!isKeyed(call)) {
            return ports.forwarder().forward(call, account, scope);
        }
        RetryGrant grant = account.grant(GrantPolicy.all(), false);
        Call keyed = call.attempt(call.id(), call.context().withRetryAllowance(grant.amount()));
        return ports.keyed()
                .handle(keyed, CallerIdentity.of(request.identity()))
                .whenComplete((result, failure) -> grant.giveBack(result == null ? 0 : result.unspentRetries()));
    }

    private static long allowedNanos(IncomingRequest request, Route route) {
        return request.timeLimit()
                .filter(limit -> limit.compareTo(route.deadline()) < 0)
                .orElse(route.deadline())
                .toNanos();
    }

    private Call call(IncomingRequest request, Route route, RequestId id, ServiceName caller, CallContext context) {
        return new Call(
                id,
                caller,
                route.chooseService(ports.random()),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                route.idempotent(),
                request.key().map(RequestKey::text),
                context);
    }
}
