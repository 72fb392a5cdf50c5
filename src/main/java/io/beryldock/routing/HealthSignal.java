package io.beryldock.routing;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;

/** What the result of a call says about the health of its target. */
enum HealthSignal {
    /** The target answered without a server error. */
    WELL,
    /** The target is alive but refused the call because it is overloaded. */
    FULL,
    /** The target is alive but shuts down and accepts no new work. */
    LEAVING,
    /** The call failed at the target. */
    FAILED,
    /** No connection to the target could be made. */
    UNREACHABLE,
    /** No information: the cause lies with the call or its caller. */
    NONE;

    /** A timeout counts as a failure only if the call waited at least this many times the service's mean latency. */
    private static final double MIN_WAIT_RATIO = 2;

    static HealthSignal of(CallResult result, long latencyNanos, double typicalNanos) {
        if (result.outcome() == Outcome.ANSWERED) {
            return result.succeeded() ? WELL : FAILED;
        }
        Reason reason = result.reason().orElseThrow();
        return result.outcome() == Outcome.NOT_RUN
                ? ofRefusal(reason)
                : ofUnknown(reason, latencyNanos >= MIN_WAIT_RATIO * typicalNanos);
    }

    private static HealthSignal ofRefusal(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, RATE_LIMITED, TARGET_REFUSED -> FULL;
            case DRAINING -> LEAVING;
            case CONNECT_FAILED -> UNREACHABLE;
            case INTERNAL, CONNECTION_LOST -> FAILED;
            default -> NONE;
        };
    }

    /** A timeout that is short compared with the mean latency is the caller's choice and says nothing of the target. */
    private static HealthSignal ofUnknown(Reason reason, boolean waitedLongEnough) {
        return switch (reason) {
            case CONNECTION_LOST, TARGET_CRASHED, INTERNAL -> FAILED;
            case TIMED_OUT -> waitedLongEnough ? FAILED : NONE;
            default -> NONE;
        };
    }
}
