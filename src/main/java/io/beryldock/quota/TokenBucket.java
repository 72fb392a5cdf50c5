package io.beryldock.quota;

/** Tokens that come at a rate and are saved up to a capacity. Not thread safe. */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    private double ratePerSecond;
    private double capacity;
    private double level;
    private long filledAt;

    /** A bucket with so many tokens, at most its capacity. */
    TokenBucket(double ratePerSecond, double capacity, double level, long now) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.level = Math.min(capacity, level);
        this.filledAt = now;
    }

    /** Takes another rate and capacity from now on; what is saved beyond the capacity is lost. */
    void setTerms(double rate, double most, long now) {
        fill(now);
        ratePerSecond = rate;
        capacity = most;
        level = Math.min(level, most);
    }

    private void fill(long now) {
        level = Math.min(capacity, level + ratePerSecond * (now - filledAt) / NANOS_PER_SECOND);
        filledAt = now;
    }

    double level(long now) {
        fill(now);
        return level;
    }

    double capacity() {
        return capacity;
    }

    /** Takes up to so many whole tokens and tells how many. */
    int take(int wanted, long now) {
        fill(now);
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(level)));
        level -= taken;
        return taken;
    }

    /** Puts tokens in; what does not fit is lost. */
    void add(int tokens, long now) {
        fill(now);
        level = Math.min(capacity, level + tokens);
    }

    /** Time until the next whole token, in milliseconds. */
    long millisToNext(long now) {
        fill(now);
        return (long) Math.ceil(Math.max(0, 1 - level) / ratePerSecond * MILLIS_PER_SECOND);
    }
}
