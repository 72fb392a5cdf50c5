package io.beryldock.forwarding;

import io.beryldock.admission.EntryShedder;
import io.beryldock.admission.ShedDecision;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.settings.NodeSettings.Policy;
import java.util.Optional;

/** The decision of load shedding at the entry on a root request: a refusal, or empty when admitted. Immutable. */
record EntrySheddingCheck(Optional<CallResult> refusal) {

    static EntrySheddingCheck of(Policy policy, EntryShedder shedder, Call call) {
        if (policy == Policy.NONE) {
            return new EntrySheddingCheck(Optional.empty());
        }
        CallContext context = call.context();
        ShedDecision decision =
                shedder.decide(call.service(), context.priority().rank(), context.callerHash());
        if (decision.admitted()) {
            return new EntrySheddingCheck(Optional.empty());
        }
        CallResult shed = CallResult.notRun(
                        Reason.SHED_AT_DOOR, "class " + context.priority().name())
                .withRetryAfterMillis(decision.retryAfterMillis())
                .withUnspentRetries(context.retryAllowance());
        return new EntrySheddingCheck(Optional.of(shed));
    }
}
