package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

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
                versions(results),
                leftOut + whole.rows().size() - kept.rows().size());
    }

    private static ImmutableList<VersionCount> versions(List<QueryResult> results) {
        TreeMap<DataCentre, TreeMap<Long, Integer>> counts = new TreeMap<>();
        for (QueryResult result : results) {
            for (VersionCount version : result.versions()) {
                counts.computeIfAbsent(version.dataCentre(), name -> new TreeMap<>())
                        .merge(version.version(), version.nodes(), Integer::sum);
            }
        }
        ImmutableList.Builder<VersionCount> list = ImmutableList.builder();
        counts.forEach((dataCentre, byVersion) ->
                byVersion.forEach((version, nodes) -> list.add(new VersionCount(dataCentre, version, nodes))));
        return list.build();
    }
}
