package io.beryldock.forwarding;

import io.beryldock.configuration.Route;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Optional;

/**
 * Tells requests that come back after a refusal from new ones, by the time that their caller still gives them.
 *
 * <p>A caller that was told when to come back does so with what is left of its time, less than callers of the route
 * give at first. Those that were turned away once go before new ones of their rank: else a lottery at each return keeps
 * some out for all of their time while others never wait. Thread safe.
 */
final class ReturnDetector {

    /** Part of the usual time that a first request has at least; the shortest wait that callers are told takes more. */
    private static final double FIRST_SHARE = 0.97;

    /** How long the longest time seen of a route holds: its callers may change what they give. */
    private static final long HOLD_NANOS = Duration.ofSeconds(30).toNanos();

    private final Ticker ticker;
    private final RouteMemory<Longest> longest = new RouteMemory<>();

    ReturnDetector(Ticker ticker) {
        this.ticker = ticker;
    }

    /** The longest time that callers of a route gave, and when. */
    private record Longest(long nanos, long at) {}

    /**
     * Time since the caller first asked, if the request was probably turned away before; 0 for a new one, and when its
     * caller names no time.
     */
    long elapsedNanos(Route route, Optional<Duration> timeLimit) {
        if (timeLimit.isEmpty()) {
            return 0;
        }
        long given = timeLimit.get().toNanos();
        long usual = usual(route, given);
        return given < FIRST_SHARE * usual ? usual - given : 0;
    }

    private long usual(Route route, long given) {
        long now = ticker.nanos();
        Optional<Longest> known =
                longest.of(route).filter(found -> given < found.nanos() && now - found.at() <= HOLD_NANOS);
        if (known.isPresent()) {
            return known.get().nanos();
        }
        longest.put(route, new Longest(given, now));
        return given;
    }
}
