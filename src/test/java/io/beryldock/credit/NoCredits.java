package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TreeCost;

/** Credits that no tree requires. Tests override the methods that they need. */
public class NoCredits implements TreeCredits {

    @Override
    public boolean requiresCredits(TreeKey tree) {
        return false;
    }

    @Override
    public void observe(ImmutableList<ServiceLevel> levels) {}

    @Override
    public void recordDemand(TreeKey tree, Claimant claimant) {}

    @Override
    public boolean take(TreeKey tree, Claimant claimant) {
        return false;
    }

    @Override
    public void giveBack(TreeKey tree, Claimant claimant) {}

    @Override
    public void recordTreeCost(TreeKey tree, TreeCost used, boolean succeeded) {}

    @Override
    public long expectedWaitNanos(TreeKey tree, Claimant claimant, int ahead) {
        return 0;
    }

    @Override
    public long usualNanos(TreeKey tree) {
        return 0;
    }

    @Override
    public void onCredits(Runnable listener) {}
}
