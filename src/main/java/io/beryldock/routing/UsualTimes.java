package io.beryldock.routing;

import io.beryldock.call.TargetLoad;
import java.util.HashMap;
import java.util.Map;

/**
 * What is usual for one service: latencies by kind of call, and the load of its targets.
 *
 * <p>Latencies of kinds that differ tenfold don't mix: a target is compared by how its answers relate to the usual of
 * their kind. Invariant: at most {@link #MAX_KINDS} kinds are kept; further ones share a place. Not thread safe;
 * guarded by the lock of {@link ServiceTargets}.
 */
final class UsualTimes {

    static final int MAX_KINDS = 64;

    private static final double SAMPLE_WEIGHT = 0.05;

    /** One answer counts at most for so many times as slow as usual. */
    private static final double MAX_SLOWNESS = 20;

    private final Map<CallKind, Average> kinds = new HashMap<>();
    private final Average all = new Average();
    private final Average means = new Average();
    private final Average busyShare = new Average();

    /** An exponential average, 0 before the first sample. */
    private static final class Average {
        private double value;

        void add(double sample) {
            value += value == 0 ? sample : SAMPLE_WEIGHT * (sample - value);
        }
    }

    /** Notes the latency of an answer and returns how it relates to the usual of its kind. */
    double onLatency(CallKind kind, long nanos) {
        all.add((double) nanos);
        Average usual = kinds.get(kind);
        if (usual == null) {
            CallKind kept = kinds.size() < MAX_KINDS ? kind : CallKind.ANY;
            usual = kinds.computeIfAbsent(kept, name -> new Average());
        }
        usual.add((double) nanos);
        return relativeTo(usual, nanos);
    }

    /** How a latency relates to the usual of its kind, 1 when that is unknown. */
    double relative(CallKind kind, long nanos) {
        Average usual = kinds.get(kind);
        return usual == null ? 1 : relativeTo(usual, nanos);
    }

    private static double relativeTo(Average usual, long nanos) {
        return Math.min(MAX_SLOWNESS, (double) nanos / Math.max(1, usual.value));
    }

    void onReport(TargetLoad load) {
        means.add((double) load.meanNanos());
        busyShare.add((double) (load.running() + load.queued()) / Math.max(1, load.limit()));
    }

    /** Kinds that are told apart, the shared place included. */
    int kinds() {
        return kinds.size();
    }

    /** Latency over all kinds, 0 when unknown. */
    double latencyNanos() {
        return all.value;
    }

    /** Latency of the slowest kind, 0 when unknown. */
    double slowestNanos() {
        double slowest = 0;
        for (Average usual : kinds.values()) {
            slowest = Math.max(slowest, usual.value);
        }
        return slowest;
    }

    /** Mean time of a request as targets report it, 0 when unknown. */
    double meanNanos() {
        return means.value;
    }

    /** Requests at a target as a share of its limit. */
    double busyShare() {
        return busyShare.value;
    }
}
