package io.beryldock.forwarding;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.call.Call;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Logs requests that ended without an answer, as one line for each cause and second.
 *
 * <p>Thread safe. The log volume is bounded under any load: at most {@link #MAX_CAUSES} causes a second and one line
 * for the rest.
 */
public final class RefusalSummary {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofSeconds(1);

    /** Causes distinguished in one second; a node serves tens of routes, of which few fail at a time. */
    private static final int MAX_CAUSES = 40;

    @GuardedBy("this")
    private final Map<Cause, Sum> sums = new HashMap<>();

    @GuardedBy("this")
    private long omitted;

    private RefusalSummary() {}

    /** Starts a summary that logs each second. */
    public static RefusalSummary start(TimerService timers) {
        RefusalSummary summary = new RefusalSummary();
        timers.every(PERIOD, summary::write);
        return summary;
    }

    private record Cause(Outcome outcome, Reason reason, ServiceName service, int rank, String detail) {

        // Written by hand: the nodes' C1 compiler does not inline a record's generated equals, an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof Cause that
                    && outcome == that.outcome
                    && reason == that.reason
                    && service.equals(that.service)
                    && rank == that.rank
                    && detail.equals(that.detail);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * reason.hashCode() + service.hashCode()) + detail.hashCode();
        }
    }

    private record Sum(int count, RequestId first, RequestId last) {

        Sum plus(RequestId next) {
            return new Sum(count + 1, first, next);
        }
    }

    synchronized void add(Call call, Outcome outcome, Reason reason, String detail) {
        RequestId id = call.context().root();
        int rank = call.context().priority().rank();
        Cause cause = new Cause(outcome, reason, call.service(), rank, detail);
        if (sums.size() >= MAX_CAUSES && !sums.containsKey(cause)) {
            omitted++;
            return;
        }
        sums.merge(cause, new Sum(1, id, id), (known, one) -> known.plus(id));
    }

    private synchronized void write() {
        sums.forEach((cause, sum) -> log.atInfo().log(
                "without answer in 1 s: outcome=%s reason=%s service=%s rank=%d count=%d first=%s last=%s detail=%s",
                cause.outcome(),
                cause.reason(),
                cause.service(),
                cause.rank(),
                sum.count(),
                sum.first(),
                sum.last(),
                cause.detail()));
        if (omitted > 0) {
            log.atInfo().log("without answer in 1 s: %d more requests with other causes", omitted);
        }
        sums.clear();
        omitted = 0;
    }
}
