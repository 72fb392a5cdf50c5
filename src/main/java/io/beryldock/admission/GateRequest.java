package io.beryldock.admission;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import java.util.Objects;

/**
 * What the gate needs to know of a request.
 *
 * <p>Immutable.
 *
 * @param rank rank of its priority class, 0 is the most important
 * @param callerHash from {@link CallerHash}
 * @param sunkNanos target time already spent for its root request
 * @param remainingNanos time left until its deadline, counted from the submission
 * @param covered whether its entry holds credits for its whole tree
 * @param kind from {@link RequestKind}
 */
public record GateRequest(
        RequestId id, int rank, int callerHash, long sunkNanos, long remainingNanos, boolean covered, int kind) {

    public GateRequest {
        Objects.requireNonNull(id, "id");
        if (rank < 0 || rank > PriorityClass.LOWEST_RANK) {
            throw new IllegalArgumentException("rank must be 0 to " + PriorityClass.LOWEST_RANK + ": " + rank);
        }
    }

    /** A request that is not covered by credits, of no kind of its own. */
    public GateRequest(RequestId id, int rank, int callerHash, long sunkNanos, long remainingNanos) {
        this(id, rank, callerHash, sunkNanos, remainingNanos, false, RequestKind.NONE);
    }
}
