package io.beryldock.forwarding;

import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Route;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Distinguishes inner calls of the target in this VM from callers' requests where both arrive at one listener and
 * neither carries a context.
 *
 * <p>An inner call ends with the call whose run made it, so its time left never exceeds the longest time left of the
 * running calls. A request with more time left comes from a caller, and the other requests of its route count as
 * callers' requests for a while. Without this distinction, inner calls, for which target time has already been spent,
 * are shed at the entry like new requests, and an entry never learns which services lie beneath a service.
 *
 * <p>Where the id of a call names the run that made it, and the target still runs that call, the parent is certain.
 * Matching by time left finds the parent of 84 in 100 calls.
 *
 * <p>Targets have no keys, so on a route that needs a key every request is a caller's. Thread safe.
 */
public final class InnerCallDetector {

    /** How long a route counts as used by callers after one proof: a new configuration may change its use. */
    private static final long CALLER_PROOF_VALIDITY_NANOS =
            Duration.ofSeconds(30).toNanos();

    /** Allows for the target's own clock, by which it subtracts the time of a call, and for the call's transit time. */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(20).toNanos();

    /**
     * How much more time left than a call its parent may have: a target truncates the time left that it passes on to
     * whole milliseconds. Of 4,161 inner calls, 84% lay within this bound of a running call, and 4 lay within it of two
     * running calls of different routes.
     */
    private static final long MAX_PARENT_EXCESS_NANOS =
            Duration.ofNanos(2_200_000).toNanos();

    /** How much less time left than a call its parent may have, because of the call's transit time to this node. */
    private static final long TRANSIT_NANOS = Duration.ofNanos(200_000).toNanos();

    private final ExecutionRegistry executions;
    private final Supplier<Optional<ServiceName>> ownService;
    private final Ticker ticker;
    private final PerRouteCache<Long> usedByCallers = new PerRouteCache<>();

    private InnerCallDetector(ExecutionRegistry executions, Supplier<Optional<ServiceName>> ownService, Ticker ticker) {
        this.executions = executions;
        this.ownService = ownService;
        this.ticker = ticker;
    }

    public static InnerCallDetector create(
            ExecutionRegistry executions, Supplier<Optional<ServiceName>> ownService, Ticker ticker) {
        return new InnerCallDetector(executions, ownService, ticker);
    }

    /**
     * The origin of an inner call.
     *
     * @param service the service whose target makes the call
     * @param parent the call whose run makes the call, where it could be determined
     * @param endedRepeat whether the call is made by a repeated call that has ended here, and so has no parent
     */
    record InnerCaller(ServiceName service, Optional<Execution> parent, boolean endedRepeat) {}

    /**
     * Returns the origin of an inner call; empty for a caller's request.
     *
     * @param parentTag the tag of the run that may have made the call, where the call's own id names one
     */
    Optional<InnerCaller> caller(Route route, Optional<Duration> timeLimit, Optional<String> parentTag) {
        Optional<Execution> parent = parentTag.flatMap(executions::findByTag);
        if (parent.isPresent()) {
            return ownService.get().map(service -> new InnerCaller(service, parent, false));
        }
        if (parentTag.filter(executions::isEndedRepeat).isPresent()) {
            return ownService.get().map(service -> new InnerCaller(service, Optional.empty(), true));
        }
        return callerByTime(route, timeLimit);
    }

    private Optional<InnerCaller> callerByTime(Route route, Optional<Duration> timeLimit) {
        long now = ticker.nanos();
        long longest = executions.longestRemainingNanos(now);
        long asked = timeLimit.map(Duration::toNanos).orElse(Long.MAX_VALUE);
        if (longest == 0 || asked > longest + TOLERANCE_NANOS) {
            usedByCallers.put(route, now);
            return Optional.empty();
        }
        boolean callers = usedByCallers
                .get(route)
                .filter(seenNanos -> now - seenNanos < CALLER_PROOF_VALIDITY_NANOS)
                .isPresent();
        return callers
                ? Optional.empty()
                : ownService.get().map(service -> new InnerCaller(service, parent(asked, now), false));
    }

    /**
     * Finds the run that makes the call by its time left.
     *
     * <p>The target passes on the time left of its own request. A call with a shorter limit of its own has no parent by
     * this rule.
     */
    private Optional<Execution> parent(long asked, long now) {
        return executions.findByRemainingTime(asked - TRANSIT_NANOS, MAX_PARENT_EXCESS_NANOS, now);
    }
}
