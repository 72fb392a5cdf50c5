package io.beryldock.forwarding;

import io.beryldock.configuration.Route;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Optional;

/**
 * Distinguishes requests that a caller retries after a refusal from new ones, by their time limit.
 *
 * <p>A caller that retries after the advised wait does so with the rest of its time, which is less than callers of the
 * route allow at first. Requests that were refused before go before new ones of their rank: with an independent random
 * draw at each retry, some callers would be refused for all of their time while others never wait. Thread safe.
 */
final class ClientRetryDetector {

    /** Least share of the usual time limit that a first request has; the shortest advised wait uses up the rest. */
    private static final double MIN_FIRST_SHARE = 0.97;

    /** How long the longest time limit seen on a route is valid: its callers may change their limits. */
    private static final long LONGEST_VALIDITY_NANOS = Duration.ofSeconds(30).toNanos();

    private final Ticker ticker;
    private final PerRouteCache<Longest> longest = new PerRouteCache<>();

    ClientRetryDetector(Ticker ticker) {
        this.ticker = ticker;
    }

    /** The longest time limit that callers of a route gave, and when. */
    private record Longest(long nanos, long at) {}

    /**
     * Returns the time since the caller's first request, if this request was probably refused before; 0 for a new
     * request and for one without a time limit.
     */
    long elapsedNanos(Route route, Optional<Duration> timeLimit) {
        if (timeLimit.isEmpty()) {
            return 0;
        }
        long given = timeLimit.get().toNanos();
        long usual = usual(route, given);
        return given < MIN_FIRST_SHARE * usual ? usual - given : 0;
    }

    private long usual(Route route, long given) {
        long now = ticker.nanos();
        Optional<Longest> known =
                longest.get(route).filter(found -> given < found.nanos() && now - found.at() <= LONGEST_VALIDITY_NANOS);
        if (known.isPresent()) {
            return known.get().nanos();
        }
        longest.put(route, new Longest(given, now));
        return given;
    }
}
