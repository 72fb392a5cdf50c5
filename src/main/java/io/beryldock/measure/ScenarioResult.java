package io.beryldock.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;

/** The figures of a run and the table of its classes. Immutable. */
public final class ScenarioResult {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double PERCENT = 100;

    private final MeasureReport report;
    private final ClassTable table;
    private final long retries;

    ScenarioResult(MeasureReport report, ClassTable table, long retries) {
        this.report = report;
        this.table = table;
        this.retries = retries;
    }

    /** The figures as one line of JSON. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(report);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("figures are always JSON", e);
        }
    }

    /** Whether no promise was broken. */
    public boolean invariantsHeld() {
        return report.invariantsHeld();
    }

    /** Prints the classes and the figures for a person. */
    public void print(PrintStream out) {
        table.print(out);
        out.printf(
                "whole requests/s %.1f of %.1f that the slots allow; within the cause %.1f of %.1f%n",
                report.goodputTotal(), report.capacityBound(), report.goodputInCause(), report.capacityBoundInCause());
        out.printf(
                "recovery %s; wasted work %.1f%%; added latency p50 %.0f us, p99 %.0f us (%d calls, %d direct)%n",
                report.recoverySeconds() == null
                        ? "not before the end"
                        : String.format("%.1f s", report.recoverySeconds()),
                PERCENT * report.wastedWorkShare(),
                report.addedLatencyMicros().p50(),
                report.addedLatencyMicros().p99(),
                report.addedLatencyMicros().samples(),
                report.addedLatencyMicros().directSamples());
        out.printf(
                "retries %d in all, at most %d for one request (bound %d); target crashes %d%n",
                retries, report.retriesMax(), report.retryBound(), report.targetCrashes());
        out.printf(
                "run twice %d; said NOT_RUN but ran %d; crossed answers %d; without an end %d; invariants %s%n",
                report.doubleRuns(),
                report.notRunButRan(),
                report.crossedAnswers(),
                report.unended(),
                report.invariantsHeld() ? "held" : "BROKEN");
    }
}
