package io.beryldock.measure;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * What calls cost beyond the target's own time, through a node and direct, in the same run.
 *
 * <p>Thread safe. Only calls without inner calls count, so that one call is compared with one call.
 */
final class OverheadMeter {

    private static final long HIGHEST = TimeUnit.SECONDS.toNanos(60);
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MICRO = 1000;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;

    private final Histogram through = new ConcurrentHistogram(HIGHEST, DIGITS);
    private final Histogram direct = new ConcurrentHistogram(HIGHEST, DIGITS);

    private OverheadMeter() {}

    static OverheadMeter create() {
        return new OverheadMeter();
    }

    void addThrough(long nanos) {
        through.recordValue(Math.min(HIGHEST, Math.max(0, nanos)));
    }

    void addDirect(long nanos) {
        direct.recordValue(Math.min(HIGHEST, Math.max(0, nanos)));
    }

    /** How much more a call through a node takes than a direct one. */
    AddedLatency added() {
        return new AddedLatency(
                added(MEDIAN),
                added(TAIL),
                direct.getValueAtPercentile(MEDIAN) / NANOS_PER_MICRO,
                direct.getValueAtPercentile(TAIL) / NANOS_PER_MICRO,
                through.getTotalCount(),
                direct.getTotalCount());
    }

    private double added(double percentile) {
        return (through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / NANOS_PER_MICRO;
    }

    /**
     * Difference of the percentiles, in microseconds. Immutable.
     *
     * @param directP50 what a direct call takes beyond the target's own time
     * @param samples calls through a node
     * @param directSamples direct calls
     */
    record AddedLatency(double p50, double p99, double directP50, double directP99, long samples, long directSamples) {}
}
