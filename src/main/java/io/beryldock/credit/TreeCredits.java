package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TreeCost;

/**
 * Credits that an entry node holds, for the trees of calls that begin there.
 *
 * <p>Order of calls for one request: the check whether the tree requires credits; once, the record of its demand;
 * {@link #take} until it returns true; at the end the record of the tree's cost, or {@link #giveBack} when the tree ran
 * nowhere. {@link #observe} at the end of each request. Thread safe.
 */
public interface TreeCredits {

    /** Learns from the result of a caller's request which services do not admit all requests. */
    void observe(ImmutableList<ServiceLevel> levels);

    /**
     * Whether trees of this kind require credits now: a service that they are known to call is in shortage, and its
     * home node is reachable. While false, the admission levels that answers report decide, as they do without credits.
     */
    boolean requiresCredits(TreeKey tree);

    /**
     * Records that a tree was requested. The entry node claims credits from the home nodes according to this demand.
     */
    void recordDemand(TreeKey tree, Claimant claimant);

    /**
     * Takes the credits of one whole tree, for all its services in shortage or for none; returns false when they do not
     * suffice.
     */
    boolean take(TreeKey tree, Claimant claimant);

    /** Returns the credits of one tree that ran nowhere: the current cost of such a tree, valid like a new grant. */
    void giveBack(TreeKey tree, Claimant claimant);

    /**
     * Learns the cost of trees of this kind from the end of a tree that was started.
     *
     * @param succeeded whether the tree succeeded; the cost of other trees is ignored, as they may have ended early
     */
    void recordTreeCost(TreeKey tree, TreeCost used, boolean succeeded);

    /**
     * Expected wait of a tree for its credits.
     *
     * @param ahead number of trees waiting here whose rank is the claimant's or more important
     */
    long expectedWaitNanos(TreeKey tree, Claimant claimant, int ahead);

    /** Mean time of trees of this kind from start to answer; 0 while unknown. */
    long usualNanos(TreeKey tree);

    /** Registers a listener that runs, on any thread, whenever credits may have arrived. */
    void onCredits(Runnable listener);
}
