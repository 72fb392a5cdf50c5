package io.beryldock.forwarding;

import java.util.concurrent.CompletableFuture;

/**
 * One life of the target, from the start of its process to its end, as this node can tell it from the next.
 *
 * <p>Thread safe. Two objects that are equal stand for the same life.
 */
@FunctionalInterface
public interface TargetLife {

    /**
     * Looks whether the life goes on, after an exchange within it was lost.
     *
     * @param lostAtNanos when the first exchange was lost, by the node's ticker
     * @return the sign; whoever asks must bound the wait, as a target may neither accept nor refuse a connection
     */
    CompletableFuture<LifeSign> look(long lostAtNanos);
}
