package io.beryldock.time;

/** Token bucket: gains tokens at a constant rate, up to its capacity. Not thread safe. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    private double ratePerSecond;
    private double capacity;
    private double level;
    private long filledAt;

    /** Creates a bucket that holds the given number of tokens, at most its capacity. */
    public TokenBucket(double ratePerSecond, double capacity, double level, long now) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.level = Math.min(capacity, level);
        this.filledAt = now;
    }

    /** Changes rate and capacity from now on; tokens beyond the new capacity are lost. */
    public void setRateAndCapacity(double newRate, double newCapacity, long now) {
        fill(now);
        ratePerSecond = newRate;
        capacity = newCapacity;
        level = Math.min(level, newCapacity);
    }

    private void fill(long now) {
        level = Math.min(capacity, level + ratePerSecond * (now - filledAt) / NANOS_PER_SECOND);
        filledAt = now;
    }

    /** Number of tokens in the bucket, with fractions. */
    public double level(long now) {
        fill(now);
        return level;
    }

    public double capacity() {
        return capacity;
    }

    /** Takes at most the wanted number of whole tokens and returns how many were taken. */
    public int take(int wanted, long now) {
        fill(now);
        int taken = (int) Math.max(0, Math.min(wanted, Math.floor(level)));
        level -= taken;
        return taken;
    }

    /** Adds tokens; those beyond the capacity are lost. */
    public void add(int tokens, long now) {
        fill(now);
        level = Math.min(capacity, level + tokens);
    }

    /** Time until the next whole token, in milliseconds. */
    public long millisToNext(long now) {
        return millisTo(1, now);
    }

    /** Time until the bucket would hold this many tokens, in milliseconds, regardless of its capacity. */
    public long millisTo(int tokens, long now) {
        fill(now);
        return (long) Math.ceil(Math.max(0, tokens - level) / ratePerSecond * MILLIS_PER_SECOND);
    }
}
