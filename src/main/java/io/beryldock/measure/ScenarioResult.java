package io.beryldock.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.Reason;
import java.io.PrintStream;
import java.util.Map;

/** The figures of a run and the table of its classes. Immutable. */
public final class ScenarioResult {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double PERCENT = 100;

    private final MeasureReport report;
    private final ClassTable table;
    private final long retries;
    private final ImmutableMap<Reason, Long> refusals;

    ScenarioResult(MeasureReport report, ClassTable table, long retries, ImmutableMap<Reason, Long> refusals) {
        this.refusals = refusals;
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

    private void printRefusals(PrintStream out) {
        refusals.entrySet().stream()
                .sorted(Map.Entry.<Reason, Long>comparingByValue().reversed())
                .forEach(entry -> out.printf("refused %6d: %s%n", entry.getValue(), entry.getKey()));
    }

    /** Prints the classes and the figures for a person. */
    public void print(PrintStream out) {
        table.print(out);
        printRefusals(out);
        out.printf(
                "whole requests/s %.1f of %.1f that the slots allow; within the cause %.1f of %.1f%n",
                report.goodputTotal(), report.capacityBound(), report.goodputInCause(), report.capacityBoundInCause());
        out.printf(
                "recovery %s; wasted work %.1f%%%n"
                        + "added latency p50 %.0f us, p99 %.0f us (%d calls), "
                        + "beside a direct call's p50 %.0f us, p99 %.0f us (%d)%n",
                report.recoverySeconds() == null
                        ? "not before the end"
                        : String.format("%.1f s", report.recoverySeconds()),
                PERCENT * report.wastedWorkShare(),
                report.addedLatencyMicros().p50(),
                report.addedLatencyMicros().p99(),
                report.addedLatencyMicros().samples(),
                report.addedLatencyMicros().directP50(),
                report.addedLatencyMicros().directP99(),
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
