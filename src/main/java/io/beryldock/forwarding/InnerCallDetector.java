package io.beryldock.forwarding;

import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Route;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;

/**
 * Tells inner calls of the target in this VM from callers' requests, where both come to one listener and neither
 * carries a context.
 *
 * <p>An inner call ends with the call within whose run it was made, so it never has more time left than every running
 * call. A request that has more is a caller's, and so are, for a while, all of its route. Without this, work for which
 * others have already run is shed at the door like new work, and an entry never learns what lies beneath a service.
 * Thread safe.
 */
public final class InnerCallDetector {

    /** How long the proof that callers use a route holds: routes keep their use, but the document may change it. */
    private static final long PROOF_NANOS = Duration.ofSeconds(30).toNanos();

    /** The target subtracts the time of a call by its own clock, and the call's way adds some. */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(20).toNanos();

    private static final int MAX_ROUTES = 10_000;

    private final ExecutionRegistry executions;
    private final Supplier<Optional<ServiceName>> ownService;
    private final Ticker ticker;
    private final ConcurrentMap<String, Long> usedByCallers = new ConcurrentHashMap<>();

    private InnerCallDetector(ExecutionRegistry executions, Supplier<Optional<ServiceName>> ownService, Ticker ticker) {
        this.executions = executions;
        this.ownService = ownService;
        this.ticker = ticker;
    }

    public static InnerCallDetector create(
            ExecutionRegistry executions, Supplier<Optional<ServiceName>> ownService, Ticker ticker) {
        return new InnerCallDetector(executions, ownService, ticker);
    }

    /** The service whose target makes the call, empty for a caller's request. */
    Optional<ServiceName> caller(Route route, Optional<Duration> timeLimit) {
        long now = ticker.nanos();
        long longest = executions.longestRemainingNanos(now);
        String key = route.host() + route.prefix();
        long asked = timeLimit.map(Duration::toNanos).orElse(Long.MAX_VALUE);
        if (longest == 0 || asked > longest + TOLERANCE_NANOS) {
            noteCallers(key, now);
            return Optional.empty();
        }
        Long proof = usedByCallers.get(key);
        boolean callers = proof != null && now - proof < PROOF_NANOS;
        return callers ? Optional.empty() : ownService.get();
    }

    private void noteCallers(String key, long now) {
        if (usedByCallers.size() >= MAX_ROUTES) {
            usedByCallers.clear();
        }
        usedByCallers.put(key, now);
    }
}
