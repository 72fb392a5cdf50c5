package io.beryldock.command;

import java.util.concurrent.CompletableFuture;

/** Shows what one node knows, as a port that the node's assembly implements. Thread safe and never blocks. */
@FunctionalInterface
public interface NodeInspector {

    /**
     * This node's own part of the answer, with the columns of {@link ShowColumns}.
     *
     * <p>The future may complete on any thread. It is asked for targets, nodes, levels, retries, tickets, connections
     * and quarantine; the sources of the other topics stand in {@link OperatorPorts}.
     */
    CompletableFuture<QueryTable> inspect(ShowStatement statement);
}
