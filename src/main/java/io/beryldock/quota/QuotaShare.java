package io.beryldock.quota;

import io.beryldock.organisation.Quota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

/**
 * Tokens of one organisation that this node holds, and the requests that wait for more.
 *
 * <p>Not thread safe. Invariant: a token is used at most once and not after its lifetime, which starts when the node
 * asked for it.
 */
final class QuotaShare {

    /** Weight of the last period in the expected demand, which follows a change of demand within three periods. */
    private static final double LAST_PERIOD_WEIGHT = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Deque<CompletableFuture<QuotaDecision>> waiting = new ArrayDeque<>();
    private Quota quota;
    private int tokens;
    private int lastGranted;
    private int unused;
    private long usableUntil;
    private boolean questionPending;
    private long emptyUntil;
    private double expectedPerSecond;
    private long periodStart;
    private int requestsInPeriod;

    QuotaShare(Quota quota, long now) {
        this.quota = quota;
        this.periodStart = now;
        this.emptyUntil = now;
    }

    /** Changes the quota. Tokens of the previous quota are discarded: they are neither used nor returned. */
    void setQuota(Quota next) {
        if (!next.equals(quota)) {
            quota = next;
            tokens = 0;
            unused = 0;
        }
    }

    /** Records a request, so that tokens are requested according to demand. */
    void onDemand(long now, long lifetimeNanos) {
        if (now - periodStart >= lifetimeNanos) {
            double last = requestsInPeriod * NANOS_PER_SECOND / (now - periodStart);
            expectedPerSecond += LAST_PERIOD_WEIGHT * (last - expectedPerSecond);
            periodStart = now;
            requestsInPeriod = 0;
        }
        requestsInPeriod++;
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

    /** Returns the number of tokens that expired unused, which the home node may grant again; each is returned once. */
    int takeUnused(long now) {
        expire(now);
        int expired = unused;
        unused = 0;
        return expired;
    }

    /** Returns the token of a request that has not run. */
    void giveBack(long now) {
        if (now < usableUntil) {
            tokens++;
        } else {
            unused++;
        }
    }

    /** Whether more tokens are to be requested: few are left, and no question is pending. */
    boolean isLow(long now) {
        return !questionPending && now >= emptyUntil && tokens <= lastGranted / 4 && (tokens > 0 || !waiting.isEmpty());
    }

    /** Number of tokens to request: the demand expected within their lifetime, plus the waiting requests. */
    int wanted(long lifetimeNanos) {
        return Math.max(1, (int) Math.ceil(expectedPerSecond * lifetimeNanos / NANOS_PER_SECOND) + waiting.size());
    }

    void onQuestionSent() {
        questionPending = true;
    }

    /** Adds the tokens granted in answer to the question that was sent at {@code askedAt}. */
    void onGranted(int number, long askedAt, long lifetimeNanos) {
        questionPending = false;
        tokens += number;
        lastGranted = number;
        usableUntil = askedAt + lifetimeNanos;
    }

    /** Records that the home node has no tokens before {@code until}. */
    void onEmpty(long until) {
        emptyUntil = until;
    }

    /** Time in nanoseconds for which no tokens are available; 0 or less when a question may yield some. */
    long emptyFor(long now) {
        return emptyUntil - now;
    }

    CompletableFuture<QuotaDecision> await() {
        CompletableFuture<QuotaDecision> decision = new CompletableFuture<>();
        waiting.add(decision);
        return decision;
    }

    /** Next waiting request; null when none waits. */
    CompletableFuture<QuotaDecision> nextWaiting() {
        return waiting.poll();
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }
}
