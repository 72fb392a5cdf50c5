package io.beryldock.admission;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import java.util.Objects;

/**
 * Properties of a request that the gate's decision depends on.
 *
 * <p>Immutable.
 *
 * @param rank rank of its priority class, 0 is the most important
 * @param callerHash from {@link CallerHash}
 * @param sunkNanos target time already spent on its root request
 * @param remainingNanos time left until its deadline, counted from the submission
 * @param covered whether its entry node holds credits for its whole call tree
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

    /** Creates a request that is not covered by credits and whose kind is not distinguished. */
    public GateRequest(RequestId id, int rank, int callerHash, long sunkNanos, long remainingNanos) {
        this(id, rank, callerHash, sunkNanos, remainingNanos, false, RequestKind.NONE);
    }
}
