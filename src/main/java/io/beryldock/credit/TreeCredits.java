package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TreeCost;

/**
 * The credits that an entry holds, for trees of calls that begin there.
 *
 * <p>Order of calls for one request: {@link #governs}; {@link #demand} once; {@link #take} until it returns true; then
 * {@link #ended}, or {@link #giveBack} when the tree ran nowhere. {@link #observe} at the end of each request. Thread
 * safe.
 */
public interface TreeCredits {

    /** Learns from the end of a caller's request which services do not admit all. */
    void observe(ImmutableList<ServiceLevel> levels);

    /**
     * Whether trees of this kind need credits now: a service that they are known to call is short, and its home is in
     * touch. While false, the levels that answers report decide as they do without credits.
     */
    boolean governs(TreeKey tree);

    /** Notes that a tree was asked for, which is the demand that the entry tells the homes. */
    void demand(TreeKey tree, Claimant claimant);

    /** Takes the credits of one whole tree, of all its scarce services or of none; false when they do not suffice. */
    boolean take(TreeKey tree, Claimant claimant);

    /** Gives the credits of one tree back, which ran nowhere: what such a tree costs now, valid as a new grant. */
    void giveBack(TreeKey tree, Claimant claimant);

    /**
     * Learns from the end of a tree that was started what trees of this kind cost.
     *
     * @param succeeded only a tree that did tells what is needed
     */
    void ended(TreeKey tree, TreeCost used, boolean succeeded);

    /**
     * How long a tree is expected to wait for its credits.
     *
     * @param ahead trees of the claimant's rank and of ranks before it that wait here
     */
    long expectedWaitNanos(TreeKey tree, Claimant claimant, int ahead);

    /** Time that trees of this kind usually take from their start to their answer; 0 while unknown. */
    long usualNanos(TreeKey tree);

    /** The listener is told, on any thread, whenever credits have come in. */
    void onCredits(Runnable listener);
}
