package io.beryldock.command;

import com.google.common.collect.ImmutableList;

/** Sorts the rows of a topic and keeps as many as an answer may hold: the latest of the time line, else the first. */
final class RowLimit {

    private RowLimit() {}

    static QueryTable apply(ShowTopic topic, QueryTable table, int maxRows) {
        ImmutableList<ImmutableList<Cell>> sorted =
                ImmutableList.sortedCopyOf(CellOrder.ofRows(topic, table.columns()), table.rows());
        if (sorted.size() <= maxRows) {
            return new QueryTable(table.columns(), sorted);
        }
        int from = topic == ShowTopic.TIMELINE ? sorted.size() - maxRows : 0;
        return new QueryTable(table.columns(), sorted.subList(from, from + maxRows));
    }
}
