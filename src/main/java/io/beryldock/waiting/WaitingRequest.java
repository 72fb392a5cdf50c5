package io.beryldock.waiting;

import io.beryldock.credit.Claimant;
import io.beryldock.credit.TreeKey;
import java.util.Objects;

/**
 * A caller's request before its first call. Immutable.
 *
 * @param returned whether it was refused before and is a retry at the time that its caller was told
 * @param objectiveNanos time from now within which an answer is most useful to the caller
 * @param remainingNanos time from now after which the caller accepts no answer
 * @param bytes memory held for the request while it waits
 */
public record WaitingRequest(
        TreeKey tree, Claimant claimant, boolean returned, long objectiveNanos, long remainingNanos, int bytes) {

    public WaitingRequest {
        Objects.requireNonNull(tree, "tree");
        Objects.requireNonNull(claimant, "claimant");
    }
}
