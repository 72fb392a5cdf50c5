package io.beryldock.credit;

import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.call.TreeCost.ServiceCost;
import java.util.HashMap;
import java.util.Map;

/**
 * What trees of each kind cost, service by service, learnt from those that succeeded.
 *
 * <p>Invariant: a kind or a service of which nothing is known costs nothing. Memory is bounded by {@link #MAX_KINDS}.
 * Not thread safe.
 */
final class TreeProfiles {

    /** Kinds that are told apart; those beyond cost nothing. */
    static final int MAX_KINDS = 1024;

    /** Weight of one tree: the mean follows a change within some tens of trees. */
    private static final double WEIGHT = 1.0 / 24;

    /** Less slot time than any call of a target takes: what is left of a service that is not called any more. */
    private static final double LEAST_NANOS = 1000;

    private final Map<TreeKey, Profile> profiles = new HashMap<>();

    /** The means of one kind. */
    private static final class Profile {
        private final Map<ServiceName, Double> busyNanos = new HashMap<>();
        private double usualNanos;
        private int trees;

        private void learn(ServiceName root, TreeCost used) {
            trees++;
            double weight = Math.max(WEIGHT, 1.0 / trees);
            for (ServiceCost cost : used.services()) {
                busyNanos.putIfAbsent(cost.service(), 0.0);
            }
            busyNanos.replaceAll((service, mean) -> mean + weight * (used.busyNanos(service) - mean));
            busyNanos.values().removeIf(mean -> mean < LEAST_NANOS);
            int calls = used.calls(root);
            if (calls > 0) {
                usualNanos += weight * ((double) used.busyNanos(root) / calls - usualNanos);
            }
        }
    }

    /** Learns from a tree that succeeded. */
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

    /** Slot time of the service that a tree needs; 0 when it needs none or nothing is known. */
    double nanos(TreeKey tree, ServiceName service) {
        Profile profile = profiles.get(tree);
        return profile == null ? 0 : profile.busyNanos.getOrDefault(service, 0.0);
    }

    /**
     * Time from start to answer; 0 while unknown. The first call of a tree holds its slot until all beneath has
     * ended, so that its slot time is that of the tree.
     */
    long usualNanos(TreeKey tree) {
        Profile profile = profiles.get(tree);
        return profile == null ? 0 : (long) profile.usualNanos;
    }
}
