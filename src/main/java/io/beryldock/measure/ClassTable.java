package io.beryldock.measure;

import io.beryldock.measure.UserRequest.Verdict;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests of each class.
 *
 * <p>Not thread safe; filled once from requests that have ended.
 */
public final class ClassTable {

    private static final int DIGITS = 3;
    private static final double TAIL = 99;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double PERCENT = 100;

    private final Map<String, Row> rows = new LinkedHashMap<>();

    private ClassTable() {}

    static ClassTable of(Topology topology, List<UserRequest> requests) {
        ClassTable table = new ClassTable();
        topology.callers().forEach(callers -> table.rows.put(callers.name(), new Row()));
        requests.forEach(request -> table.rows.get(request.callers().name()).add(request));
        return table;
    }

    Map<String, Row> rows() {
        return rows;
    }

    /** Prints one line a class. */
    public void print(PrintStream out) {
        out.printf(
                "%-14s %8s %9s %8s %8s %8s %8s %8s %9s%n",
                "class", "asked", "answered", "share", "shed", "unknown", "failed", "gave up", "p99 ms");
        rows.forEach((name, row) -> out.printf(
                "%-14s %8d %9d %7.1f%% %8d %8d %8d %8d %9.0f%n",
                name,
                row.asked,
                row.complete,
                PERCENT * row.share(),
                row.count(Verdict.NOT_RUN),
                row.count(Verdict.UNKNOWN),
                row.count(Verdict.FAILED),
                row.count(Verdict.NO_ANSWER),
                row.tailMillis()));
    }

    /** Counts of one class. Not thread safe. */
    static final class Row {

        private final Map<Verdict, Long> ends = new LinkedHashMap<>();
        private final Histogram latencies = new Histogram(DIGITS);
        private long asked;
        private long complete;

        private void add(UserRequest request) {
            asked++;
            if (request.isComplete()) {
                complete++;
                latencies.recordValue(TimeUnit.NANOSECONDS.toMicros(request.latency()));
            } else {
                ends.merge(request.last(), 1L, Long::sum);
            }
        }

        long count(Verdict verdict) {
            return ends.getOrDefault(verdict, 0L);
        }

        /** Share of those asked that completed, 1 when nothing was asked. */
        double share() {
            return asked == 0 ? 1 : (double) complete / asked;
        }

        double tailMillis() {
            return latencies.getValueAtPercentile(TAIL) / MICROS_PER_MILLI;
        }
    }
}
