package io.beryldock.waiting;

import io.beryldock.waiting.EntryAdmission.Pending;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * One request that is decided over, from its arrival to its decision.
 *
 * <p>Invariant: decided once, under the lock of the entry, and told after it. What is known at its arrival is
 * immutable.
 */
final class Waiter implements Pending {

    /** More important first: rank, then lane, then the earlier. */
    static final Comparator<Waiter> BY_IMPORTANCE =
            Comparator.comparingInt(Waiter::rank).thenComparing(Waiter::lane).thenComparingLong(Waiter::order);

    /** Those first that must be decided first. */
    static final Comparator<Waiter> BY_EXPIRY = Waiter::compareExpiry;

    private final WaitingRequest request;
    private final Lane lane;
    private final long arrivedAt;
    private final long expiresAt;
    private final long order;
    private final Consumer<Waiter> leaver;
    private final CompletableFuture<EntryDecision> decision = new CompletableFuture<>();
    private EntryDecision decided;

    /**
     * @param maxWaitNanos how long it can wait; 0 or less when it has to be decided at once
     * @param leaver is told when the caller leaves
     */
    Waiter(WaitingRequest request, Lane lane, long now, long maxWaitNanos, long order, Consumer<Waiter> leaver) {
        this.request = request;
        this.lane = lane;
        this.arrivedAt = now;
        this.expiresAt = now + maxWaitNanos;
        this.order = order;
        this.leaver = leaver;
    }

    @Override
    public CompletableFuture<EntryDecision> decision() {
        return decision;
    }

    @Override
    public void leave() {
        leaver.accept(this);
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

    /** What was asked, with the time that is left by now. */
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

    /** Tells the decision; without the lock, since what follows from it may ask the entry again. */
    void tell() {
        decision.complete(decided);
    }

    private static int compareExpiry(Waiter a, Waiter b) {
        int byTime = Long.signum(a.expiresAt - b.expiresAt);
        return byTime != 0 ? byTime : Long.compare(a.order, b.order);
    }
}
