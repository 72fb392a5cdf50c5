package io.beryldock.admission;

import io.beryldock.call.TargetNotice;
import io.beryldock.time.TokenBucket;
import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Limit on the requests per second that a target accepts, as its answers name it.
 *
 * <p>All requests of a target pass its gate, so the limit holds for the sum over all nodes. It is in force as long as
 * the answers name it. Answers are ordered by the time at which their requests were sent: an answer without a limit
 * ends the limit only if its request was sent after the last answer that named it had arrived, and an answer to a
 * request sent before the one that ended the limit does not start it again.
 *
 * <p>Load pattern: a target in need names a fraction of its current rate while demand and free slots stay the same. The
 * target counts the requests of some seconds, including those sent just before it named the limit, so a limit far below
 * the recent rate starts with a lower rate.
 *
 * <p>Invariant: while a limit is in force, no more requests are admitted in any time than its tokens allow. Guarded by
 * the gate's lock; times in nanoseconds.
 */
final class RequestRateLimit {

    /** Lowest rate used: few requests must pass, because only answers show that a limit has ended. */
    static final double MIN_RATE = 0.5;

    /** Time within which admissions before the limit are compensated. */
    static final long SETTLING_NANOS = Duration.ofSeconds(3).toNanos();

    /** Number of tokens that can be saved, in seconds of the rate, so that varying arrivals waste little of it. */
    private static final double BURST_SECONDS = 0.25;

    /** Admissions in the last second, as a multiple of the rate, that need no compensation. */
    private static final double TOLERATED_RATIO = 2;

    /** Lowest rate while settling, as a share of the limit. */
    private static final double MIN_SETTLING_SHARE = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RecentAdmissions recent;
    private double named = TargetNotice.UNLIMITED;
    private boolean known;
    private TokenBucket bucket;
    private boolean settling;
    private long settledAt;
    private long namedAt;
    private long namedBySentAt;
    private boolean ended;
    private long endedBySentAt;

    RequestRateLimit(long now) {
        recent = new RecentAdmissions(now);
    }

    /**
     * Applies what an answer says of the limit; an empty rate says nothing.
     *
     * @param sentAt time at which the request of the answer was sent
     * @return whether the limit has changed
     */
    boolean onAnswer(OptionalDouble rate, long sentAt, long now) {
        if (rate.isEmpty()) {
            return false;
        }
        known = true;
        return rate.getAsDouble() < TargetNotice.UNLIMITED
                ? onNamed(rate.getAsDouble(), sentAt, now)
                : onUnnamed(sentAt);
    }

    /** Applies a limit that another node was told, unless this gate has had an answer itself; whether it did. */
    boolean onPeerReport(double rate, long now) {
        if (known || !(rate < TargetNotice.UNLIMITED)) {
            return false;
        }
        return onAnswer(OptionalDouble.of(rate), now, now);
    }

    private boolean onNamed(double rate, long sentAt, long now) {
        boolean outdated = isLimited() ? sentAt - namedBySentAt < 0 : ended && sentAt - endedBySentAt < 0;
        if (outdated) {
            return false;
        }
        namedAt = now;
        namedBySentAt = sentAt;
        if (rate == named) {
            return false;
        }
        apply(rate, now);
        return true;
    }

    private boolean onUnnamed(long sentAt) {
        if (!isLimited() || sentAt - namedAt <= 0) {
            return false;
        }
        named = TargetNotice.UNLIMITED;
        bucket = null;
        settling = false;
        ended = true;
        endedBySentAt = sentAt;
        return true;
    }

    private void apply(double rate, long now) {
        boolean lowered = rate < named;
        named = rate;
        if (bucket == null) {
            bucket = new TokenBucket(effectiveRate(), capacity(), 1, now);
        }
        settle(now);
        if (lowered) {
            startSettling(now);
        }
        bucket.setRateAndCapacity(settling ? settlingRate(now) : effectiveRate(), capacity(), now);
    }

    private void startSettling(long now) {
        settling = excess(now) > 0;
        settledAt = now + SETTLING_NANOS;
    }

    private double excess(long now) {
        return recent.count(now) - TOLERATED_RATIO * effectiveRate();
    }

    private double settlingRate(long now) {
        double compensated = effectiveRate() - excess(now) * NANOS_PER_SECOND / SETTLING_NANOS;
        return Math.max(MIN_SETTLING_SHARE * effectiveRate(), Math.min(effectiveRate(), compensated));
    }

    /** Restores the full rate once the admissions before the limit are compensated. */
    private void settle(long now) {
        if (settling && now - settledAt >= 0) {
            settling = false;
            bucket.setRateAndCapacity(effectiveRate(), capacity(), settledAt);
        }
    }

    private double capacity() {
        return 1 + BURST_SECONDS * effectiveRate();
    }

    private double effectiveRate() {
        return Math.max(MIN_RATE, named);
    }

    boolean isLimited() {
        return bucket != null;
    }

    /** The rate that the target names, in requests per second. */
    double ratePerSecond() {
        return named;
    }

    /** Requests per nanosecond that are admitted while the limit is in force. */
    double perNano() {
        return effectiveRate() / NANOS_PER_SECOND;
    }

    boolean permits(long now) {
        return tokens(now) >= 1;
    }

    /** Number of requests that may be admitted now. */
    int tokens(long now) {
        if (bucket == null) {
            return Integer.MAX_VALUE;
        }
        settle(now);
        return (int) bucket.level(now);
    }

    void admitted(long now) {
        recent.add(now);
        if (bucket != null) {
            settle(now);
            bucket.take(1, now);
        }
    }

    /** Time until a request can be admitted behind the given number of others, in milliseconds. */
    long waitMillis(int ahead, long now) {
        if (bucket == null) {
            return 0;
        }
        settle(now);
        return bucket.millisTo(ahead + 1, now);
    }
}
