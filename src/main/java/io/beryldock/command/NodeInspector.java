package io.beryldock.command;

import java.util.concurrent.CompletableFuture;

/** Shows what one node knows, as a port that the node's assembly implements. Thread safe and never blocks. */
public interface NodeInspector {

    /**
     * This node's own part of the answer, with the columns of {@link ShowColumns}.
     *
     * <p>The future may complete on any thread. Two topics are never asked for, as {@link OperatorPorts} holds their
     * sources: {@link ShowTopic#TIMELINE} and {@link ShowTopic#SHED}.
     */
    CompletableFuture<QueryTable> inspect(ShowStatement statement);

    /** Version of the configuration in force at this node, 0 before the first. */
    long configurationVersion();
}
