package io.beryldock.forwarding;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.beryldock.call.ServiceName;
import io.beryldock.retry.ArrivalKind;
import io.beryldock.retry.ArrivalTally;
import io.beryldock.time.TimerService;
import java.time.Duration;

/**
 * Logs the repeated calls that the target in this VM received, as one line a second for each service that received any.
 *
 * <p>Used on one timer thread only.
 */
public final class RepeatSummary {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final ArrivalTally tally;
    private ImmutableMap<ServiceName, ImmutableMap<ArrivalKind, Long>> logged = ImmutableMap.of();

    private RepeatSummary(ArrivalTally tally) {
        this.tally = tally;
    }

    /** Starts a summary that logs each second. */
    public static RepeatSummary start(ArrivalTally tally, TimerService timers) {
        RepeatSummary summary = new RepeatSummary(tally);
        timers.every(PERIOD, summary::write);
        return summary;
    }

    private void write() {
        ImmutableMap<ServiceName, ImmutableMap<ArrivalKind, Long>> rows = tally.rows();
        rows.forEach((service, row) -> {
            long first = added(service, row, ArrivalKind.FIRST);
            long all = row.keySet().stream()
                    .mapToLong(kind -> added(service, row, kind))
                    .sum();
            if (all > first) {
                log.atInfo().log(
                        "repeats at the target in 1 s: service=%s first=%d resent=%d inherited=%d",
                        service,
                        first,
                        added(service, row, ArrivalKind.RESENT),
                        added(service, row, ArrivalKind.INHERITED));
            }
        });
        logged = rows;
    }

    private long added(ServiceName service, ImmutableMap<ArrivalKind, Long> row, ArrivalKind kind) {
        return row.get(kind) - logged.getOrDefault(service, ImmutableMap.of()).getOrDefault(kind, 0L);
    }
}
