package io.beryldock.forwarding;

import io.beryldock.admission.DoorDecision;
import io.beryldock.admission.DoorShedder;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.settings.NodeSettings.Policy;
import java.util.Optional;

/** What the door says of a root request: a refusal, or nothing when it is let in. Immutable. */
record DoorCheck(Optional<CallResult> refusal) {

    static DoorCheck of(Policy policy, DoorShedder door, Call call) {
        if (policy == Policy.NONE) {
            return new DoorCheck(Optional.empty());
        }
        CallContext context = call.context();
        DoorDecision decision = door.decide(call.service(), context.priority().rank(), context.callerHash());
        if (decision.admitted()) {
            return new DoorCheck(Optional.empty());
        }
        CallResult shed = CallResult.notRun(
                        Reason.SHED_AT_DOOR, "class " + context.priority().name())
                .withRetryAfterMillis(decision.retryAfterMillis())
                .withUnspentRetries(context.retryAllowance());
        return new DoorCheck(Optional.of(shed));
    }
}
