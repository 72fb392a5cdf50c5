package io.beryldock.forwarding;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.beryldock.call.ServiceName;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.ArrivalKind;
import io.beryldock.retry.ArrivalTally.Counts;
import io.beryldock.retry.ArrivalTally.Row;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.stream.Collectors;

/**
 * Logs the repeated calls that the target in this VM received or that were refused before it, as one line a second for
 * each service with any.
 *
 * <p>Used on one timer thread only.
 */
public final class RepeatSummary {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Counts NONE = new Counts(0, 0, 0);

    private final ArrivalControl arrivals;
    private ImmutableMap<Row, Counts> logged = ImmutableMap.of();

    private RepeatSummary(ArrivalControl arrivals) {
        this.arrivals = arrivals;
    }

    /** Starts a summary that logs each second. */
    public static RepeatSummary start(ArrivalControl arrivals, TimerService timers) {
        RepeatSummary summary = new RepeatSummary(arrivals);
        timers.every(PERIOD, summary::write);
        return summary;
    }

    private void write() {
        ImmutableMap<Row, Counts> rows = arrivals.tally().rows();
        rows.keySet().stream()
                .filter(row ->
                        row.kind() != ArrivalKind.FIRST && !added(rows, row).equals(NONE))
                .map(Row::service)
                .collect(Collectors.toSet())
                .forEach(service -> write(rows, service));
        logged = rows;
    }

    private void write(ImmutableMap<Row, Counts> rows, ServiceName service) {
        Counts resent = added(rows, new Row(service, ArrivalKind.RESENT));
        Counts inherited = added(rows, new Row(service, ArrivalKind.INHERITED));
        log.atInfo().log(
                "repeats in 1 s: service=%s first=%d resent=%d resentRefused=%d inherited=%d inheritedRefused=%d"
                        + " room=%s",
                service,
                added(rows, new Row(service, ArrivalKind.FIRST)).arrived(),
                resent.arrived(),
                resent.refused(),
                inherited.arrived(),
                inherited.refused(),
                arrivals.room(service).map(Object::toString).orElse("unlimited"));
    }

    private Counts added(ImmutableMap<Row, Counts> rows, Row row) {
        return rows.getOrDefault(row, NONE).since(logged.getOrDefault(row, NONE));
    }
}
