package io.beryldock.forwarding;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.logging.DecisionLog;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.timeline.RefusalCounter;
import java.util.Optional;

/** Records how requests without an answer ended, for operators' queries and the log. Thread safe. */
public final class RequestJournal {

    private final RefusalCounter refusals;
    private final RefusalSummary summary;
    private final EventSink events;
    private final DecisionWriter decisions = new DecisionWriter("entry", DecisionLog.create(Ticker.system()));

    private RequestJournal(RefusalCounter refusals, RefusalSummary summary, EventSink events) {
        this.refusals = refusals;
        this.summary = summary;
        this.events = events;
    }

    public static RequestJournal create(RefusalCounter refusals, RefusalSummary summary, EventSink events) {
        return new RequestJournal(refusals, summary, events);
    }

    /** Records the end of a request at its entry, or of an inner call at its node. */
    void ended(Call call, CallResult result) {
        result.reason().ifPresent(reason -> recordUnanswered(call, result, reason));
        decisions.ended(call, result);
    }

    private void recordUnanswered(Call call, CallResult result, Reason reason) {
        refusals.record(reason, call.context().priority(), call.service(), call.caller());
        summary.add(call, result.outcome(), reason, result.detail());
        Optional<RequestId> root = Optional.of(call.context().root());
        String detail = "class " + call.context().priority().name() + ", " + reason + ": " + result.detail();
        events.record(kind(result, reason), root, call.service().value(), detail);
    }

    private static EventKind kind(CallResult result, Reason reason) {
        if (result.outcome() == Outcome.UNKNOWN) {
            return EventKind.OUTCOME_UNKNOWN;
        }
        return switch (reason) {
            case SHED_AT_DOOR -> EventKind.SHED_AT_DOOR;
            case SHED_AT_TARGET, QUEUED_TOO_LONG, RATE_LIMITED, REPEATS_LIMITED, DEADLINE_PASSED, TARGET_REFUSED ->
                EventKind.SHED_AT_TARGET;
            default -> EventKind.REQUEST_REFUSED;
        };
    }
}
