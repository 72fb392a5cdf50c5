package io.beryldock.waiting;

import io.beryldock.credit.Claimant;
import io.beryldock.credit.TreeKey;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Waiting requests that have the same call tree, claimant and lane and differ only in their arrival, the earliest
 * first.
 *
 * <p>Guarded by the lock of the entry.
 */
final class WaitingLine {

    private final Key key;
    private final Set<Waiter> waiters = new LinkedHashSet<>();

    WaitingLine(Key key) {
        this.key = key;
    }

    /** Properties that the requests of a line share. */
    record Key(TreeKey tree, Claimant claimant, Lane lane) {

        static Key of(Waiter waiter) {
            WaitingRequest request = waiter.request();
            return new Key(request.tree(), request.claimant(), waiter.lane());
        }

        /** Whether both lines take the same credits: all lanes of one tree and claimant share their credits. */
        boolean sharesCredits(Key other) {
            return claimant.equals(other.claimant) && tree.equals(other.tree);
        }

        Key inLane(Lane other) {
            return new Key(tree, claimant, other);
        }
    }

    Key key() {
        return key;
    }

    TreeKey tree() {
        return key.tree();
    }

    Claimant claimant() {
        return key.claimant();
    }

    Lane lane() {
        return key.lane();
    }

    void add(Waiter waiter) {
        waiters.add(waiter);
    }

    void remove(Waiter waiter) {
        waiters.remove(waiter);
    }

    boolean isEmpty() {
        return waiters.isEmpty();
    }

    Waiter first() {
        Iterator<Waiter> earliest = waiters.iterator();
        return earliest.next();
    }

    /** Returns the arrival number of the first request. */
    long firstOrder() {
        return first().order();
    }
}
