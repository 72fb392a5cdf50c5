package io.beryldock.credit;

import com.google.common.collect.ImmutableList;

/**
 * Last claim of one entry node at a home node. Not thread safe.
 *
 * <p>A claim is received as slot time and counts as a rate: the slot time divided by the time since the entry node was
 * last answered, within bounds. Entry nodes that ask at different intervals or from different distances thus get equal
 * parts.
 */
final class EntryClaim {

    /** Number of rounds for which a claim counts, and the longest time, in rounds, that one answer covers. */
    static final int MAX_ROUNDS = 3;

    private ImmutableList<CreditAmount> wanted = ImmutableList.of();
    private boolean pending;
    private boolean everAnswered;
    private long answeredAt;
    private long claimedAt;
    private long periodNanos;

    void claim(ImmutableList<CreditAmount> claimed, long roundNanos, long now) {
        wanted = claimed;
        pending = true;
        claimedAt = now;
        updatePeriod(roundNanos, now + roundNanos);
    }

    /** Computes the time that the answer will cover. */
    void updatePeriod(long roundNanos, long answerAt) {
        long since = everAnswered ? answerAt - answeredAt : roundNanos;
        periodNanos = Math.max(roundNanos, Math.min(MAX_ROUNDS * roundNanos, since));
    }

    void answered(long now) {
        pending = false;
        everAnswered = true;
        answeredAt = now;
    }

    /** Whether the entry node waits for the end of the round. */
    boolean isPending() {
        return pending;
    }

    boolean isCurrent(long roundNanos, long now) {
        return pending || now - claimedAt <= MAX_ROUNDS * roundNanos;
    }

    ImmutableList<CreditAmount> wanted() {
        return wanted;
    }

    /** Number of slots that would serve the claim. */
    double slots(CreditAmount part) {
        return part.nanos() / periodNanos;
    }
}
