package io.beryldock.credit;

import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.call.TreeCost.ServiceCost;
import java.util.HashMap;
import java.util.Map;

/**
 * Mean cost of each kind of tree by service, learnt from the trees that succeeded.
 *
 * <p>Invariant: the cost of an unknown kind or service is 0. Memory is bounded by {@link #MAX_KINDS}. Not thread safe.
 */
final class TreeProfiles {

    /** Maximum number of kinds that are tracked; the cost of further kinds is 0. */
    static final int MAX_KINDS = 1024;

    /** Weight of one tree in the moving average, which follows a change within some tens of trees. */
    private static final double WEIGHT = 1.0 / 24;

    /**
     * Lower bound of a mean. Any call of a target takes more slot time, so a smaller mean is the remainder of a service
     * that is no longer called.
     */
    private static final double MIN_NANOS = 1000;

    private final Map<TreeKey, Profile> profiles = new HashMap<>();

    /** Moving averages of one kind. */
    private static final class Profile {
        private final Map<ServiceName, Double> busyNanos = new HashMap<>();
        private double meanRootNanos;
        private int trees;

        private void learn(ServiceName root, TreeCost used) {
            trees++;
            double weight = Math.max(WEIGHT, 1.0 / trees);
            for (ServiceCost cost : used.services()) {
                busyNanos.putIfAbsent(cost.service(), 0.0);
            }
            busyNanos.replaceAll((service, mean) -> mean + weight * (used.busyNanos(service) - mean));
            busyNanos.values().removeIf(mean -> mean < MIN_NANOS);
            int calls = used.calls(root);
            if (calls > 0) {
                meanRootNanos += weight * ((double) used.busyNanos(root) / calls - meanRootNanos);
            }
        }
    }

    /** Updates the means of the kind with a tree that succeeded. */
    void learn(TreeKey tree, TreeCost used) {
        Profile profile = profiles.get(tree);
        if (profile == null && profiles.size() < MAX_KINDS) {
            profile = new Profile();
            profiles.put(tree, profile);
        }
        if (profile != null && !used.services().isEmpty()) {
            profile.learn(tree.service(), used);
        }
    }

    /** Slot time of the service that a tree needs; 0 when the tree needs none or its kind is unknown. */
    double nanos(TreeKey tree, ServiceName service) {
        Profile profile = profiles.get(tree);
        return profile == null ? 0 : profile.busyNanos.getOrDefault(service, 0.0);
    }

    /**
     * Mean time from start to answer; 0 while unknown. The first call of a tree holds its slot until all calls beneath
     * it have ended, so that its slot time is the duration of the tree.
     */
    long usualNanos(TreeKey tree) {
        Profile profile = profiles.get(tree);
        return profile == null ? 0 : (long) profile.meanRootNanos;
    }
}
