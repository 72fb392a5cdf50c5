package io.beryldock.waiting;

import io.beryldock.call.TreeCost;
import io.beryldock.credit.TreeKey;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * Starts fewer trees of a kind of which nearly none ends well.
 *
 * <p>Load pattern: a service beneath turns away a part of its calls, whatever their number, and a tree makes many. Nearly
 * every tree is then lost after work on several levels, and the retries that are allowed are spread over all of them and
 * save none. With fewer trees the same retries save those that are started; the callers of the others are told at once
 * when to come back.
 *
 * <p>The share that starts rises with each tree that ends well and falls with each that fails, so that it settles where
 * about one in three ends well, and is all again soon after. Trees of a single call are never held back: they waste
 * nothing. Thread safe.
 */
public final class TreeThrottle {

    /** With these two, the share stays whole while at least one tree in three ends well. */
    private static final double GAIN_OF_SUCCESS = 0.1;

    private static final double KEPT_AFTER_FAILURE = 0.95;

    /** Some always start: only they tell when the trouble is over. */
    private static final double LEAST_SHARE = 0.1;

    /** From this number of services on, a failed tree has wasted work of others. */
    private static final int SERVICES_OF_A_TREE = 2;

    private static final long SHORTEST_RETRY_MILLIS = 1_000;
    private static final int SPREAD_MILLIS = 600;

    private final RandomGenerator random;
    private final Map<Kind, Double> shares = new ConcurrentHashMap<>();

    private TreeThrottle(RandomGenerator random) {
        this.random = random;
    }

    /** The generator is thread safe. */
    public static TreeThrottle create(RandomGenerator random) {
        return new TreeThrottle(random);
    }

    private record Kind(TreeKey tree, int rank) {

        // Records compare through method handles, which the compiler of a node's short life does not see through.
        @Override
        public boolean equals(Object other) {
            return other instanceof Kind that && rank == that.rank && tree.equals(that.tree);
        }

        @Override
        public int hashCode() {
            return 31 * rank + tree.hashCode();
        }
    }

    /** Whether one more tree may start. */
    public boolean admits(TreeKey tree, int rank) {
        if (shares.isEmpty()) {
            return true;
        }
        Double share = shares.get(new Kind(tree, rank));
        return share == null || random.nextDouble() < share;
    }

    /** When the caller of a tree that may not start may come back: trouble of this kind lasts for seconds. */
    public long retryAfterMillis() {
        return SHORTEST_RETRY_MILLIS + random.nextInt(SPREAD_MILLIS);
    }

    /**
     * A tree that was started has ended.
     *
     * @param used by the whole tree
     */
    public void ended(TreeKey tree, int rank, boolean well, TreeCost used) {
        if (well && shares.isEmpty()) {
            return;
        }
        Kind kind = new Kind(tree, rank);
        if (well) {
            shares.computeIfPresent(
                    kind, (unused, share) -> share + GAIN_OF_SUCCESS >= 1 ? null : share + GAIN_OF_SUCCESS);
        } else if (used.services().size() >= SERVICES_OF_A_TREE) {
            shares.merge(kind, KEPT_AFTER_FAILURE, (share, kept) -> Math.max(LEAST_SHARE, share * kept));
        }
    }
}
