package io.beryldock.credit;

import com.google.common.collect.ImmutableList;

/**
 * The last claim of one entry at a home. Not thread safe.
 *
 * <p>A claim is told as slot time and counts as a rate: the slot time over the time since the entry was last answered,
 * within bounds. So entries that ask at different times and distances have equal parts.
 */
final class EntryClaim {

    /** Rounds for which a claim counts, and the most that one answer makes up for. */
    static final int KEPT_ROUNDS = 3;

    private ImmutableList<WantedCredit> wanted = ImmutableList.of();
    private boolean pending;
    private boolean everAnswered;
    private long answeredAt;
    private long claimedAt;
    private long periodNanos;

    void claim(ImmutableList<WantedCredit> claimed, long roundNanos, long now) {
        wanted = claimed;
        pending = true;
        claimedAt = now;
        measure(roundNanos, now + roundNanos);
    }

    /** Works out the time that the answer will be for. */
    void measure(long roundNanos, long answerAt) {
        long since = everAnswered ? answerAt - answeredAt : roundNanos;
        periodNanos = Math.max(roundNanos, Math.min(KEPT_ROUNDS * roundNanos, since));
    }

    void answered(long now) {
        pending = false;
        everAnswered = true;
        answeredAt = now;
    }

    /** Whether the entry waits for the end of the round. */
    boolean isPending() {
        return pending;
    }

    boolean counts(long roundNanos, long now) {
        return pending || now - claimedAt <= KEPT_ROUNDS * roundNanos;
    }

    ImmutableList<WantedCredit> wanted() {
        return wanted;
    }

    /** Slots that would serve what is wanted. */
    double slots(WantedCredit part) {
        return part.nanos() / periodNanos;
    }
}
