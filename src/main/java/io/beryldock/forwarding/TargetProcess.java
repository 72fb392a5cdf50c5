package io.beryldock.forwarding;

import java.util.concurrent.CompletableFuture;

/**
 * One process of the target, from its start to its end, as far as this node can tell it from the next process.
 *
 * <p>Thread safe. Equal objects stand for the same process.
 */
@FunctionalInterface
public interface TargetProcess {

    /**
     * Checks whether the process still runs, after an exchange with it was lost.
     *
     * @param lostAtNanos when the first exchange was lost, by the node's ticker
     * @return the state; the caller must bound the wait, because a target may neither accept nor refuse a connection
     */
    CompletableFuture<TargetProcessState> checkState(long lostAtNanos);
}
