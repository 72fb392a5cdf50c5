package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;

/**
 * How far a version has spread. Immutable.
 *
 * @param version the version asked about
 * @param dataCentres one line for each data centre of the directory, in order of their names
 */
public record InForceReport(long version, ImmutableList<Line> dataCentres) {

    /** Whether every node of every data centre holds the version or a higher one. */
    public boolean everywhere() {
        return dataCentres.stream().allMatch(line -> line.holding() == line.nodes());
    }

    /** Data centres in which every node holds the version. */
    public int dataCentresInForce() {
        return (int) dataCentres.stream()
                .filter(line -> line.holding() == line.nodes())
                .count();
    }

    /**
     * One data centre.
     *
     * @param nodes nodes that the directory has there
     * @param answered those that answered
     * @param holding those that hold the version or a higher one
     * @param lowest the lowest version that a node there answered with, -1 when none did
     * @param behind some of those that hold a lower one or did not answer
     */
    public record Line(
            DataCentre dataCentre, int nodes, int answered, int holding, long lowest, ImmutableList<NodeId> behind) {}
}
