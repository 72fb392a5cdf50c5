package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.wire.ConfigurationSurveyReply;
import java.util.List;

/**
 * Summary of the versions that a group of nodes holds. Immutable.
 *
 * @param lowest the lowest version that a node answered with, {@link #NO_ANSWER} if no node answered
 * @param behind some of the nodes that hold a lower version or did not answer
 */
record SurveyTally(int nodes, int answered, int holding, long lowest, ImmutableList<NodeId> behind) {

    static final long NO_ANSWER = -1;
    static final SurveyTally EMPTY = new SurveyTally(0, 0, 0, NO_ANSWER, ImmutableList.of());

    /** Maximum number of node names in a tally. */
    static final int MAX_NAMES = 5;

    static SurveyTally ofNode(NodeId node, long held, long asked) {
        boolean holds = held >= asked;
        return new SurveyTally(1, 1, holds ? 1 : 0, held, holds ? ImmutableList.of() : ImmutableList.of(node));
    }

    static SurveyTally unanswered(List<NodeDescriptor> nodes) {
        ImmutableList<NodeId> names =
                nodes.stream().limit(MAX_NAMES).map(NodeDescriptor::id).collect(ImmutableList.toImmutableList());
        return new SurveyTally(nodes.size(), 0, 0, NO_ANSWER, names);
    }

    SurveyTally plus(SurveyTally other) {
        ImmutableList<NodeId> names = ImmutableList.<NodeId>builder()
                .addAll(behind)
                .addAll(other.behind)
                .build();
        return new SurveyTally(
                nodes + other.nodes,
                answered + other.answered,
                holding + other.holding,
                lowerAnswered(lowest, other.lowest),
                names.subList(0, Math.min(MAX_NAMES, names.size())));
    }

    private static long lowerAnswered(long a, long b) {
        if (a == NO_ANSWER || b == NO_ANSWER) {
            return Math.max(a, b);
        }
        return Math.min(a, b);
    }

    InForceReport.Line line(DataCentre dataCentre) {
        return new InForceReport.Line(dataCentre, nodes, answered, holding, lowest, behind);
    }

    ConfigurationSurveyReply encode(long id) {
        return ConfigurationSurveyReply.newBuilder()
                .setId(id)
                .setNodes(nodes)
                .setAnswered(answered)
                .setHolding(holding)
                .setLowest(lowest)
                .addAllBehind(behind.stream().map(NodeId::value).toList())
                .build();
    }

    static SurveyTally decode(ConfigurationSurveyReply reply) {
        return new SurveyTally(
                reply.getNodes(),
                reply.getAnswered(),
                reply.getHolding(),
                reply.getLowest(),
                reply.getBehindList().stream().map(NodeId::of).collect(ImmutableList.toImmutableList()));
    }
}
