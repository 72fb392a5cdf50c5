package io.beryldock.retry;

import com.google.common.flogger.FluentLogger;
import io.beryldock.call.CallContext;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Admits the calls that a node sends to the target in its VM: first arrivals always, repeats within a budget.
 *
 * <p>The node is the only sender to its target, so each arrival passes here, whoever decided to repeat the call and
 * however many nodes did. Holds one budget for each service that a target in this VM had. Thread safe.
 */
public final class ArrivalControl {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final Ticker ticker;
    private final Optional<ArrivalBudget.Limits> limits;
    private final ConcurrentMap<ServiceName, ArrivalBudget> budgets = new ConcurrentHashMap<>();
    private final ArrivalTally tally = ArrivalTally.create();

    private ArrivalControl(Ticker ticker, Optional<ArrivalBudget.Limits> limits) {
        this.ticker = ticker;
        this.limits = limits;
    }

    /** Creates a control with a budget of these limits for each service. */
    public static ArrivalControl create(Ticker ticker, ArrivalBudget.Limits limits) {
        return new ArrivalControl(ticker, Optional.of(limits));
    }

    /** Creates a control that counts repeats and admits them all. */
    public static ArrivalControl unlimited(Ticker ticker) {
        return new ArrivalControl(ticker, Optional.empty());
    }

    /**
     * Decides on a call before it waits for the target. One that is admitted may still be refused by {@link #onSend}.
     */
    public boolean admit(ServiceName service, CallContext context) {
        ArrivalKind kind = ArrivalKind.of(context);
        if (kind == ArrivalKind.FIRST || limits.isEmpty()) {
            return true;
        }
        boolean admitted = budget(service).request(context.priority().rank(), kind == ArrivalKind.INHERITED);
        if (!admitted) {
            tally.add(service, kind, false);
        }
        return admitted;
    }

    /**
     * Decides on a call that is about to be sent to the target; a call that is refused must not be sent.
     *
     * @return the call as counted; empty if it is refused
     */
    public Optional<Sending> onSend(ServiceName service, CallContext context) {
        ArrivalKind kind = ArrivalKind.of(context);
        Optional<Runnable> charged = limits.isEmpty()
                ? Optional.of(() -> {})
                : charge(budget(service), kind, context.priority().rank());
        tally.add(service, kind, charged.isPresent());
        return charged.map(takeBack -> () -> {
            takeBack.run();
            tally.addUnsent(service, kind);
        });
    }

    /** A call that was counted as sent to the target. */
    @FunctionalInterface
    public interface Sending {

        /** Takes the call back, because no byte of it reached the target; to be called once at most. */
        void onNotSent();
    }

    private static Optional<Runnable> charge(ArrivalBudget budget, ArrivalKind kind, int rank) {
        return kind == ArrivalKind.FIRST
                ? Optional.of(budget.onFirst())
                : budget.take(rank, kind == ArrivalKind.INHERITED);
    }

    private ArrivalBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> {
            log.atInfo().log("repeats of calls to service=%s are limited: %s", name, limits.orElseThrow());
            return ArrivalBudget.create(ticker, limits.orElseThrow());
        });
    }

    /** Returns the number of repeats to the service that could be sent now; empty without a limit. */
    public Optional<Integer> room(ServiceName service) {
        return limits.map(limit -> budget(service).room());
    }

    public ArrivalTally tally() {
        return tally;
    }
}
