package io.beryldock.store;

import java.time.Duration;
import java.util.Objects;

/**
 * Which faults a stand-in of the platform store shows.
 *
 * <p>Immutable. Several faults may be on at once; the first of down, refusing, silent that is on hides the others.
 *
 * @param down no connection can be made: reads fail at once, writes are {@link WriteResult.Kind#NOT_APPLIED}
 * @param refusing the store answers that it takes no calls: the same outcomes as {@code down}
 * @param silent calls vanish on the way to the store: reads fail and writes are unknown after the answer timeout
 * @param delay time that each call takes; its effect falls in the middle
 * @param loseNext number of answers lost from now on, each after its call took effect
 * @param loseShare share of answers lost after that, 0 to 1
 * @param lapsingLeases a lease is over as soon as it is granted, as it is for a holder that was paused
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

    /** Whether calls can't reach the store at all, and their callers are told so. */
    public boolean unreachable() {
        return down || refusing;
    }
}
