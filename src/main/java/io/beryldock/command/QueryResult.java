package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import java.util.Objects;

/**
 * What a query found at one node or at many.
 *
 * <p>Immutable.
 *
 * @param answered how many nodes are in the table
 * @param silentNodes the nodes that did not answer in time, or said that they could not answer
 * @param silentDataCentres the data centres of which no node answered
 * @param notes sentences for the operator
 * @param rowsLeftOut rows that the bound on the answer's size left out
 */
public record QueryResult(
        QueryTable table,
        int answered,
        ImmutableSortedSet<NodeId> silentNodes,
        ImmutableSortedSet<DataCentre> silentDataCentres,
        ImmutableList<String> notes,
        long rowsLeftOut) {

    public QueryResult {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(silentNodes, "silentNodes");
        Objects.requireNonNull(silentDataCentres, "silentDataCentres");
        Objects.requireNonNull(notes, "notes");
    }

    /** The answer of one node. */
    static QueryResult ofNode(QueryTable table, long rowsLeftOut) {
        return new QueryResult(
                table, 1, ImmutableSortedSet.of(), ImmutableSortedSet.of(), ImmutableList.of(), rowsLeftOut);
    }

    /** A node did not answer. */
    static QueryResult silent(NodeId node) {
        return nothing(ImmutableSortedSet.of(node), ImmutableSortedSet.of(), ImmutableList.of());
    }

    /** A node said that it could not answer. */
    static QueryResult failed(NodeId node, String why) {
        ImmutableList<String> notes = ImmutableList.of(node + ": " + why);
        return nothing(ImmutableSortedSet.of(node), ImmutableSortedSet.of(), notes);
    }

    /** No node of a data centre answered. */
    static QueryResult silent(DataCentre dataCentre) {
        return nothing(ImmutableSortedSet.of(), ImmutableSortedSet.of(dataCentre), ImmutableList.of());
    }

    boolean isComplete() {
        return silentNodes.isEmpty() && silentDataCentres.isEmpty();
    }

    private static QueryResult nothing(
            ImmutableSortedSet<NodeId> nodes, ImmutableSortedSet<DataCentre> dataCentres, ImmutableList<String> notes) {
        return new QueryResult(QueryTable.empty(), 0, nodes, dataCentres, notes, 0);
    }
}
