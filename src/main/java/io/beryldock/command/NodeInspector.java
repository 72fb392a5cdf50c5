package io.beryldock.command;

import java.util.concurrent.CompletableFuture;

/**
 * Shows what one node knows, as a port that the node's assembly implements.
 *
 * <p>Thread safe and never blocks; the future may complete on any thread. The columns of each topic are those of
 * {@link ShowColumns}. {@link ShowTopic#TIMELINE} is never asked: the node's event ring answers it.
 */
@FunctionalInterface
public interface NodeInspector {

    /** This node's own part of the answer. */
    CompletableFuture<QueryTable> inspect(ShowStatement statement);
}
