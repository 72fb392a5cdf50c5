package io.beryldock.store;

import java.time.Duration;
import java.util.Objects;

/**
 * The faults that a stand-in of the platform store simulates.
 *
 * <p>Immutable. Several faults may be enabled at once; of down, refusing and silent, in this order, the first enabled
 * fault hides the others.
 *
 * @param down connections fail: reads fail at once, writes are {@link WriteResult.Kind#NOT_APPLIED}
 * @param refusing the store rejects every call with an answer: the same outcomes as {@code down}
 * @param silent calls are lost before they reach the store: after the answer timeout reads fail and writes are
 *     {@link WriteResult.Kind#UNKNOWN}
 * @param delay duration of each call; the call takes effect after half of it
 * @param loseNext number of the next answers that are lost, each after its call took effect
 * @param loseShare probability that an answer after those is lost, 0 to 1
 * @param lapsingLeases each lease expires as soon as it is granted, as if its holder had been paused
 */
public record StoreFaults(
        boolean down,
        boolean refusing,
        boolean silent,
        Duration delay,
        int loseNext,
        double loseShare,
        boolean lapsingLeases) {

    private static final StoreFaults NONE = new StoreFaults(false, false, false, Duration.ZERO, 0, 0, false);

    public StoreFaults {
        Objects.requireNonNull(delay, "delay");
        if (delay.isNegative() || loseNext < 0 || !(loseShare >= 0 && loseShare <= 1)) {
            throw new IllegalArgumentException("delay and loseNext must not be negative, loseShare must be 0 to 1");
        }
    }

    public static StoreFaults none() {
        return NONE;
    }

    public StoreFaults withDown(boolean on) {
        return new StoreFaults(on, refusing, silent, delay, loseNext, loseShare, lapsingLeases);
    }

    public StoreFaults withRefusing(boolean on) {
        return new StoreFaults(down, on, silent, delay, loseNext, loseShare, lapsingLeases);
    }

    public StoreFaults withSilent(boolean on) {
        return new StoreFaults(down, refusing, on, delay, loseNext, loseShare, lapsingLeases);
    }

    public StoreFaults withDelay(Duration length) {
        return new StoreFaults(down, refusing, silent, length, loseNext, loseShare, lapsingLeases);
    }

    public StoreFaults withLoseNext(int count) {
        return new StoreFaults(down, refusing, silent, delay, count, loseShare, lapsingLeases);
    }

    public StoreFaults withLoseShare(double share) {
        return new StoreFaults(down, refusing, silent, delay, loseNext, share, lapsingLeases);
    }

    public StoreFaults withLapsingLeases(boolean on) {
        return new StoreFaults(down, refusing, silent, delay, loseNext, loseShare, on);
    }

    /** Whether every call fails at once because the store is down or refuses calls. */
    public boolean unreachable() {
        return down || refusing;
    }
}
