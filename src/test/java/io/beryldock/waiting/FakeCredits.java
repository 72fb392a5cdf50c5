package io.beryldock.waiting;

import io.beryldock.credit.Claimant;
import io.beryldock.credit.NoCredits;
import io.beryldock.credit.TreeKey;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A pool of credits in slot time that is filled at a constant rate; credits that are not taken within two rounds
 * expire.
 */
final class FakeCredits extends NoCredits {

    private static final Duration ROUND = Duration.ofMillis(20);

    private final Map<TreeKey, Long> usual = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private double pool;
    private double slots;
    boolean governing = true;
    int demands;

    /** Fills the pool each round, from the next round on, for this number of slots that all trees share. */
    void fill(ManualTimerService timers, double shared) {
        slots = shared;
        timers.every(ROUND, () -> grant(slots * ROUND.toNanos()));
    }

    void slots(double shared) {
        slots = shared;
    }

    void usual(TreeKey tree, long millis) {
        usual.put(tree, Duration.ofMillis(millis).toNanos());
    }

    /** Grants the credits of this many trees at once. */
    void grantTrees(TreeKey tree, int trees) {
        grant((double) trees * usual.get(tree));
    }

    private void grant(double slotNanos) {
        pool = Math.min(pool + slotNanos, Math.max(slotNanos, 2 * slots * ROUND.toNanos()));
        notifyListeners();
    }

    void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    @Override
    public boolean requiresCredits(TreeKey tree) {
        return governing;
    }

    @Override
    public void recordDemand(TreeKey tree, Claimant claimant) {
        demands++;
    }

    @Override
    public boolean take(TreeKey tree, Claimant claimant) {
        double cost = usual.get(tree);
        if (pool < cost) {
            return false;
        }
        pool -= cost;
        return true;
    }

    @Override
    public void giveBack(TreeKey tree, Claimant claimant) {
        grant(usual.get(tree));
    }

    @Override
    public long expectedWaitNanos(TreeKey tree, Claimant claimant, int ahead) {
        double missing = (ahead + 1.0) * usual.get(tree) - pool;
        return slots == 0 ? Duration.ofMinutes(1).toNanos() : (long) Math.max(0, missing / slots);
    }

    @Override
    public long usualNanos(TreeKey tree) {
        return usual.get(tree);
    }

    @Override
    public void onCredits(Runnable listener) {
        listeners.add(listener);
    }
}
