package io.beryldock.waiting;

import io.beryldock.waiting.EntryAdmission.Pending;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A request and its decision, from its arrival on.
 *
 * <p>Invariant: the decision is made exactly once, under the lock of the entry, and completed after the lock is
 * released. The properties that are known on arrival are immutable.
 */
final class Waiter implements Pending {

    /** Orders the most important request first: by rank, then lane, then arrival. */
    static final Comparator<Waiter> BY_IMPORTANCE =
            Comparator.comparingInt(Waiter::rank).thenComparing(Waiter::lane).thenComparingLong(Waiter::order);

    /** Orders the request that must be decided first to the front. */
    static final Comparator<Waiter> BY_EXPIRY = Waiter::compareExpiry;

    private final WaitingRequest request;
    private final Lane lane;
    private final long arrivedAt;
    private final long expiresAt;
    private final long order;
    private final Consumer<Waiter> onCancel;
    private final CompletableFuture<EntryDecision> decision = new CompletableFuture<>();
    private EntryDecision decided;

    /**
     * @param maxWaitNanos how long the request can wait; 0 or less when it has to be decided at once
     * @param onCancel called when the caller leaves
     */
    Waiter(WaitingRequest request, Lane lane, long now, long maxWaitNanos, long order, Consumer<Waiter> onCancel) {
        this.request = request;
        this.lane = lane;
        this.arrivedAt = now;
        this.expiresAt = now + maxWaitNanos;
        this.order = order;
        this.onCancel = onCancel;
    }

    @Override
    public CompletableFuture<EntryDecision> decision() {
        return decision;
    }

    @Override
    public void cancel() {
        onCancel.accept(this);
    }

    WaitingRequest request() {
        return request;
    }

    int rank() {
        return request.claimant().rank();
    }

    Lane lane() {
        return lane;
    }

    long order() {
        return order;
    }

    long expiresAt() {
        return expiresAt;
    }

    boolean canWait() {
        return expiresAt - arrivedAt > 0;
    }

    long waitedNanos(long now) {
        return now - arrivedAt;
    }

    /** Returns the request with the times that are left at this time. */
    WaitingRequest requestAt(long now) {
        long waited = waitedNanos(now);
        return new WaitingRequest(
                request.tree(),
                request.claimant(),
                request.returned(),
                request.objectiveNanos() - waited,
                request.remainingNanos() - waited,
                request.bytes());
    }

    boolean isDecided() {
        return decided != null;
    }

    void decide(EntryDecision made) {
        decided = made;
    }

    /**
     * Completes the decision. Called without the lock, since the work that follows may send new requests to the entry
     * node.
     */
    void completeDecision() {
        decision.complete(decided);
    }

    private static int compareExpiry(Waiter a, Waiter b) {
        int byTime = Long.signum(a.expiresAt - b.expiresAt);
        return byTime != 0 ? byTime : Long.compare(a.order, b.order);
    }
}
