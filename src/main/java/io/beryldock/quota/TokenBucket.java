package io.beryldock.quota;

/** Token bucket: gains tokens at a constant rate, up to its capacity. Not thread safe. */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    private double ratePerSecond;
    private double capacity;
    private double level;
    private long filledAt;

    /** Creates a bucket that holds the given number of tokens, at most its capacity. */
    TokenBucket(double ratePerSecond, double capacity, double level, long now) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.level = Math.min(capacity, level);
        this.filledAt = now;
    }

    /** Changes rate and capacity from now on; tokens beyond the new capacity are lost. */
    void setRateAndCapacity(double newRate, double newCapacity, long now) {
        fill(now);
        ratePerSecond = newRate;
        capacity = newCapacity;
        level = Math.min(level, newCapacity);
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

    /** Takes at most the wanted number of whole tokens and returns how many were taken. */
    int take(int wanted, long now) {
        fill(now);
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(level)));
        level -= taken;
        return taken;
    }

    /** Adds tokens; those beyond the capacity are lost. */
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
