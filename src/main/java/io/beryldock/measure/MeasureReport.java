package io.beryldock.measure;

import com.google.common.collect.ImmutableSortedMap;
import io.beryldock.measure.OverheadMeter.AddedLatency;

/**
 * The figures of one scenario under one policy, as docs/MEASURE.md explains them. Immutable.
 *
 * @param goodput share of the requests asked that completed, by class
 * @param goodputTotal whole requests completed a second, over the run
 * @param capacityBound whole requests a second that the slots allow of those asked, over the run
 * @param goodputInCause whole requests completed a second of those asked within the cause
 * @param capacityBoundInCause the bound within the cause
 * @param recoverySeconds null when goodput was not back before the run's end
 * @param retriesMax most retries that one root request caused
 * @param retryBound most that it may cause
 * @param latencyMillisP99 of completed requests from when they were due, by class
 * @param targetCrashes how often a target crashed
 */
record MeasureReport(
        String scenario,
        String policy,
        long seed,
        int seconds,
        ImmutableSortedMap<String, Double> goodput,
        double goodputTotal,
        double capacityBound,
        double goodputInCause,
        double capacityBoundInCause,
        Double recoverySeconds,
        double wastedWorkShare,
        long retriesMax,
        long retryBound,
        long doubleRuns,
        long notRunButRan,
        long crossedAnswers,
        long unended,
        AddedLatency addedLatencyMicros,
        ImmutableSortedMap<String, Double> latencyMillisP99,
        int targetCrashes,
        boolean invariantsHeld) {}
