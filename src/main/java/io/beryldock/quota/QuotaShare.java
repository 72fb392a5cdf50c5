package io.beryldock.quota;

import io.beryldock.organisation.Quota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

/**
 * The tokens of one organisation that this node holds, and who waits for more.
 *
 * <p>Not thread safe. Invariant: a token is used at most once, and not after its life, counted from when it was asked
 * for.
 */
final class QuotaShare {

    /** Weight of the last period in the demand that is expected: a change of demand is met within three periods. */
    private static final double LAST_PERIOD = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Deque<CompletableFuture<QuotaDecision>> waiting = new ArrayDeque<>();
    private Quota quota;
    private int tokens;
    private int given;
    private int unused;
    private long usableUntil;
    private boolean asking;
    private long emptyUntil;
    private double expectedPerSecond;
    private long periodFrom;
    private int asked;

    QuotaShare(Quota quota, long now) {
        this.quota = quota;
        this.periodFrom = now;
        this.emptyUntil = now;
    }

    /** Takes another quota; tokens of an earlier one are worth nothing under it, neither used nor given back. */
    void setQuota(Quota next) {
        if (!next.equals(quota)) {
            quota = next;
            tokens = 0;
            unused = 0;
        }
    }

    /** Notes a request, so that parts are asked for by demand. */
    void onDemand(long now, long lifeNanos) {
        if (now - periodFrom >= lifeNanos) {
            double last = asked * NANOS_PER_SECOND / (now - periodFrom);
            expectedPerSecond += LAST_PERIOD * (last - expectedPerSecond);
            periodFrom = now;
            asked = 0;
        }
        asked++;
    }

    /** Uses a token if there is one. */
    boolean take(long now) {
        expire(now);
        if (tokens == 0) {
            return false;
        }
        tokens--;
        return true;
    }

    private void expire(long now) {
        if (now >= usableUntil) {
            unused += tokens;
            tokens = 0;
        }
    }

    /** Tokens that were never used and can't be any more, to be made anew by the home; told once. */
    int takeUnused(long now) {
        expire(now);
        int told = unused;
        unused = 0;
        return told;
    }

    /** A request that used a token has not run. */
    void giveBack(long now) {
        if (now < usableUntil) {
            tokens++;
        } else {
            unused++;
        }
    }

    /** Whether it is time to ask for more: little is left, and nobody asks yet. */
    boolean isLow(long now) {
        return !asking && now >= emptyUntil && tokens <= given / 4 && (tokens > 0 || !waiting.isEmpty());
    }

    /** How many to ask for: what is expected in their life, and those that wait. */
    int wanted(long lifeNanos) {
        return Math.max(1, (int) Math.ceil(expectedPerSecond * lifeNanos / NANOS_PER_SECOND) + waiting.size());
    }

    void onAsked() {
        asking = true;
    }

    /** What was asked for at that moment has come. */
    void onGranted(int number, long askedAt, long lifeNanos) {
        asking = false;
        tokens += number;
        given = number;
        usableUntil = askedAt + lifeNanos;
    }

    /** There is none to be had until then. */
    void onEmpty(long until) {
        emptyUntil = until;
    }

    /** How long none is to be had, in nanoseconds; 0 or less when asking may help. */
    long emptyFor(long now) {
        return emptyUntil - now;
    }

    CompletableFuture<QuotaDecision> await() {
        CompletableFuture<QuotaDecision> decision = new CompletableFuture<>();
        waiting.add(decision);
        return decision;
    }

    /** The next of those that wait; null when nobody does. */
    CompletableFuture<QuotaDecision> nextWaiting() {
        return waiting.poll();
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }
}
