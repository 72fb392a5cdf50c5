package io.beryldock.routing;

import io.beryldock.call.TargetLoad;
import java.util.HashMap;
import java.util.Map;

/**
 * Averages over all targets of one service: latency by kind of call, reported mean time and load.
 *
 * <p>Targets are compared by the latency of each answer relative to the average of its kind, because the latencies of
 * kinds can differ tenfold. Invariant: at most {@link #MAX_KINDS} kinds are kept, and all further kinds share one
 * additional entry. Not thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class ServiceBaseline {

    static final int MAX_KINDS = 64;

    private static final double SAMPLE_WEIGHT = 0.05;

    /** Upper limit on the relative latency of one answer. */
    private static final double MAX_SLOWNESS = 20;

    private final Map<CallKind, Average> kinds = new HashMap<>();
    private final Average allKinds = new Average();
    private final Average reportedMeans = new Average();
    private final Average requestsPerSlot = new Average();

    /** An exponential moving average, 0 before the first sample. */
    private static final class Average {
        private double value;

        void add(double sample) {
            value += value == 0 ? sample : SAMPLE_WEIGHT * (sample - value);
        }
    }

    /** Records the latency of an answer and returns it relative to the average of its kind. */
    double onLatency(CallKind kind, long nanos) {
        allKinds.add((double) nanos);
        Average average = kinds.get(kind);
        if (average == null) {
            CallKind key = kinds.size() < MAX_KINDS ? kind : CallKind.ANY;
            average = kinds.computeIfAbsent(key, name -> new Average());
        }
        average.add((double) nanos);
        return relativeTo(average, nanos);
    }

    /** A latency relative to the average of its kind, 1 when that is unknown. */
    double relativeLatency(CallKind kind, long nanos) {
        Average average = kinds.get(kind);
        return average == null ? 1 : relativeTo(average, nanos);
    }

    private static double relativeTo(Average average, long nanos) {
        return Math.min(MAX_SLOWNESS, (double) nanos / Math.max(1, average.value));
    }

    void onReport(TargetLoad load) {
        reportedMeans.add((double) load.meanNanos());
        requestsPerSlot.add((double) (load.running() + load.queued()) / Math.max(1, load.limit()));
    }

    /** Number of kinds kept, including the shared entry. */
    int kinds() {
        return kinds.size();
    }

    /** Average latency over all kinds, 0 when unknown. */
    double latencyNanos() {
        return allKinds.value;
    }

    /** Average latency of the slowest kind, 0 when unknown. */
    double slowestNanos() {
        double slowest = 0;
        for (Average average : kinds.values()) {
            slowest = Math.max(slowest, average.value);
        }
        return slowest;
    }

    /** Average of the mean request times that targets report, 0 when unknown. */
    double meanNanos() {
        return reportedMeans.value;
    }

    /** Average number of requests at a target, divided by its concurrency limit. */
    double requestsPerSlot() {
        return requestsPerSlot.value;
    }
}
