package io.beryldock.credit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Slot time of one service that an entry node holds for one claimant.
 *
 * <p>Invariants: granted slot time is used at most once and not after it expires; slot time used beyond the grants is
 * debt, which the next grants repay before anything else. Not thread safe.
 */
final class CreditBalance {

    /**
     * Share of a tree's cost that must be held to start the tree on debt. Without debt, a tree that costs more than a
     * claimant's grant would never start; with a lower share, many entry nodes could start such a tree at the same
     * time.
     */
    private static final double MIN_HELD_SHARE_FOR_DEBT = 0.5;

    private final Deque<Grant> grants = new ArrayDeque<>();
    private double held;
    private double debt;

    /** Credits that were granted together. */
    private record Grant(double nanos, long expiresAt) {}

    void add(double nanos, long expiresAt) {
        double repaid = Math.min(debt, nanos);
        debt -= repaid;
        double left = nanos - repaid;
        if (left > 0) {
            grants.add(new Grant(left, expiresAt));
            held += left;
        }
    }

    boolean covers(double nanos, long now) {
        expire(now);
        return held >= nanos || (debt == 0 && held >= MIN_HELD_SHARE_FOR_DEBT * nanos);
    }

    /** Spends slot time for which {@link #covers} returned true. */
    void take(double nanos) {
        double left = nanos;
        while (left > 0 && !grants.isEmpty()) {
            Grant first = grants.poll();
            double used = Math.min(left, first.nanos());
            left -= used;
            held -= used;
            if (used < first.nanos()) {
                grants.addFirst(new Grant(first.nanos() - used, first.expiresAt()));
            }
        }
        held = grants.isEmpty() ? 0 : held;
        debt += left;
    }

    private void expire(long now) {
        grants.removeIf(grant -> {
            boolean expired = now - grant.expiresAt() >= 0;
            held -= expired ? grant.nanos() : 0;
            return expired;
        });
        held = grants.isEmpty() ? 0 : held;
    }

    double held(long now) {
        expire(now);
        return held;
    }

    double debt() {
        return debt;
    }
}
