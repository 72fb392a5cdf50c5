package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Makes one result of the results of many nodes or data centres. Stateless, thread safe. */
final class ResultMerger {

    /** More notes than that would say the same of each node of a release. */
    private static final int MAX_NOTES = 10;

    private ResultMerger() {}

    static QueryResult merge(ShowTopic topic, List<QueryResult> results, int maxRows) {
        List<QueryTable> tables = new ArrayList<>();
        ImmutableSortedSet.Builder<NodeId> nodes = ImmutableSortedSet.naturalOrder();
        ImmutableSortedSet.Builder<DataCentre> dataCentres = ImmutableSortedSet.naturalOrder();
        Set<String> notes = new LinkedHashSet<>();
        int answered = 0;
        long leftOut = 0;
        for (QueryResult result : results) {
            tables.add(result.table());
            nodes.addAll(result.silentNodes());
            dataCentres.addAll(result.silentDataCentres());
            notes.addAll(result.notes());
            answered += result.answered();
            leftOut += result.rowsLeftOut();
        }
        QueryTable whole = TableMerger.merge(tables);
        QueryTable kept = RowLimit.apply(topic, whole, maxRows);
        return new QueryResult(
                kept,
                answered,
                nodes.build(),
                dataCentres.build(),
                notes.stream().limit(MAX_NOTES).collect(ImmutableList.toImmutableList()),
                leftOut + whole.rows().size() - kept.rows().size());
    }
}
