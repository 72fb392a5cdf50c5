package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;

/**
 * Reports on which nodes a version is in force. Immutable.
 *
 * @param version the version that the report is about
 * @param dataCentres one line for each data centre of the directory, in order of their names
 */
public record InForceReport(long version, ImmutableList<Line> dataCentres) {

    /** Whether every node of every data centre holds the version or a higher one. */
    public boolean everywhere() {
        return dataCentres.stream().allMatch(line -> line.holding() == line.nodes());
    }

    /** Returns the number of data centres in which every node holds the version or a higher one. */
    public int dataCentresInForce() {
        return (int) dataCentres.stream()
                .filter(line -> line.holding() == line.nodes())
                .count();
    }

    /**
     * The figures of one data centre.
     *
     * @param nodes number of nodes that the directory lists in the data centre
     * @param answered number of nodes that answered
     * @param holding number of nodes that hold the version or a higher one
     * @param lowest the lowest version that a node answered with, -1 if no node answered
     * @param behind some of the nodes that hold a lower version or did not answer
     */
    public record Line(
            DataCentre dataCentre, int nodes, int answered, int holding, long lowest, ImmutableList<NodeId> behind) {}
}
