package io.beryldock.credit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The slot time of one service that an entry holds for one claimant.
 *
 * <p>Invariants: what was granted is used at most once and not after it lapses; what was used beyond it is paid back
 * from the next grants before anything else. Not thread safe.
 */
final class CreditBalance {

    /**
     * Part of a tree that must be held to start it on debt. Without debt a tree that costs more than a claimant's
     * grant would never start; with more of it many entries could start one at the same time.
     */
    private static final double HELD_FOR_DEBT = 0.5;

    private final Deque<Lot> lots = new ArrayDeque<>();
    private double held;
    private double debt;

    /** Credits that came together. */
    private record Lot(double nanos, long until) {}

    void add(double nanos, long until) {
        double paid = Math.min(debt, nanos);
        debt -= paid;
        double left = nanos - paid;
        if (left > 0) {
            lots.add(new Lot(left, until));
            held += left;
        }
    }

    boolean covers(double nanos, long now) {
        lapse(now);
        return held >= nanos || (debt == 0 && held >= HELD_FOR_DEBT * nanos);
    }

    /** Takes what {@link #covers} has allowed. */
    void take(double nanos) {
        double left = nanos;
        while (left > 0 && !lots.isEmpty()) {
            Lot first = lots.poll();
            double used = Math.min(left, first.nanos());
            left -= used;
            held -= used;
            if (used < first.nanos()) {
                lots.addFirst(new Lot(first.nanos() - used, first.until()));
            }
        }
        held = lots.isEmpty() ? 0 : held;
        debt += left;
    }

    private void lapse(long now) {
        lots.removeIf(lot -> {
            boolean lapsed = now - lot.until() >= 0;
            held -= lapsed ? lot.nanos() : 0;
            return lapsed;
        });
        held = lots.isEmpty() ? 0 : held;
    }

    double held(long now) {
        lapse(now);
        return held;
    }

    double debt() {
        return debt;
    }
}
