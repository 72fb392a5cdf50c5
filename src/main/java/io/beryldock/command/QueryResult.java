package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.NodeId;
import java.util.Objects;

/**
 * What a query found.
 *
 * <p>Immutable.
 *
 * @param answered how many nodes are in the table
 * @param silent the nodes that did not answer in time
 * @param notes sentences for the operator
 */
public record QueryResult(
        QueryTable table, int answered, ImmutableSortedSet<NodeId> silent, ImmutableList<String> notes) {

    public QueryResult {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(silent, "silent");
        Objects.requireNonNull(notes, "notes");
    }
}
