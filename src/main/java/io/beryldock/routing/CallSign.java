package io.beryldock.routing;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;

/** What the end of a call says about its target's health. */
enum CallSign {
    /** The target answered, and not with a server error. */
    WELL,
    /** The target is alive and has too much to do. */
    FULL,
    /** The target is alive and takes no new work. */
    LEAVING,
    /** The call failed at the target. */
    FAILED,
    /** Nobody takes connections there. */
    UNREACHABLE,
    /** Nothing: the cause lies with the call or its caller. */
    NONE;

    /** So many times the service's usual latency a call must have waited for its timeout to count for a failure. */
    private static final double FAIR_WAIT = 2;

    static CallSign of(CallResult result, long latencyNanos, double usualNanos) {
        if (result.outcome() == Outcome.ANSWERED) {
            return result.succeeded() ? WELL : FAILED;
        }
        Reason reason = result.reason().orElseThrow();
        return result.outcome() == Outcome.NOT_RUN
                ? ofRefusal(reason)
                : ofUnknown(reason, latencyNanos >= FAIR_WAIT * usualNanos);
    }

    private static CallSign ofRefusal(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, TARGET_REFUSED -> FULL;
            case DRAINING -> LEAVING;
            case CONNECT_FAILED -> UNREACHABLE;
            case INTERNAL, CONNECTION_LOST -> FAILED;
            default -> NONE;
        };
    }

    /** A caller may allow less time than the target ever needs: such a timeout says nothing of the target. */
    private static CallSign ofUnknown(Reason reason, boolean fairWait) {
        return switch (reason) {
            case CONNECTION_LOST, TARGET_CRASHED, INTERNAL -> FAILED;
            case TIMED_OUT -> fairWait ? FAILED : NONE;
            default -> NONE;
        };
    }
}
