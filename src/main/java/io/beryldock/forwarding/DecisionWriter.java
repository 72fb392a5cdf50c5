package io.beryldock.forwarding;

import com.google.common.collect.ImmutableMap;
import io.beryldock.admission.GateSnapshot;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.logging.DecisionLine;
import io.beryldock.logging.DecisionLog;
import java.util.concurrent.TimeUnit;

/** Logs how calls without an answer ended at one place, with the inputs of the decision. Thread safe. */
final class DecisionWriter {

    private final String place;
    private final DecisionLog decisions;

    DecisionWriter(String place, DecisionLog decisions) {
        this.place = place;
        this.decisions = decisions;
    }

    /** Logs the end of a call at an entry; logs nothing for a call that was answered. */
    void ended(Call call, CallResult result) {
        result.reason()
                .ifPresent(reason -> decisions.add(
                        () -> new DecisionLine(line(call, result, reason).buildOrThrow())));
    }

    /** Logs the end of a call at a gate, whose level and rate limit are inputs of the decision. */
    void ended(Call call, CallResult result, TargetGate gate) {
        result.reason()
                .ifPresent(reason -> decisions.add(() -> {
                    GateSnapshot snapshot = gate.snapshot();
                    String rate = snapshot.isRateLimited() ? Double.toString(snapshot.ratePerSecond()) : "";
                    return new DecisionLine(line(call, result, reason)
                            .put("level", Integer.toString(snapshot.level()))
                            .put("rateLimit", rate)
                            .buildOrThrow());
                }));
    }

    private ImmutableMap.Builder<String, String> line(Call call, CallResult result, Reason reason) {
        CallContext context = call.context();
        long millisLeft = TimeUnit.NANOSECONDS.toMillis(context.remainingNanos());
        return DecisionLine.at(place)
                .put(DecisionLine.ID, call.id().toString())
                .put(DecisionLine.ROOT, context.root().toString())
                .put(DecisionLine.PARENT, context.parent().toString())
                .put(DecisionLine.SERVICE, call.service().value())
                .put("rank", Integer.toString(context.priority().rank()))
                .put("allowedMs", Long.toString(millisLeft))
                .put(DecisionLine.OUTCOME, result.outcome().name())
                .put(DecisionLine.REASON, reason.name())
                .put("retryAfterMs", Long.toString(result.retryAfterMillis()))
                .put(DecisionLine.DETAIL, result.detail());
    }
}
