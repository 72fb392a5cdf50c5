package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes one table of the tables of many nodes.
 *
 * <p>Stateless, thread safe. Rows with equal key cells become one, whose other cells are folded as their columns say.
 * The order of the tables does not matter but for columns merged by {@link ColumnMerge#ANY}, and tables may be merged
 * in groups first: what a data centre has merged merges again with the others.
 */
final class TableMerger {

    private TableMerger() {}

    /** Columns are matched by name, as nodes of two releases may differ in them; a missing cell is empty. */
    static QueryTable merge(List<QueryTable> tables) {
        ImmutableList<Column> columns = unionOfColumns(tables);
        Map<ImmutableList<Cell>, ImmutableList<Cell>> rows = new LinkedHashMap<>();
        for (QueryTable table : tables) {
            int[] source = positions(columns, table);
            for (ImmutableList<Cell> row : table.rows()) {
                ImmutableList<Cell> aligned = align(row, source);
                rows.merge(key(columns, aligned), aligned, (one, other) -> fold(columns, one, other));
            }
        }
        return new QueryTable(columns, ImmutableList.copyOf(rows.values()));
    }

    private static ImmutableList<Column> unionOfColumns(List<QueryTable> tables) {
        Map<String, Column> union = new LinkedHashMap<>();
        for (QueryTable table : tables) {
            table.columns().forEach(column -> union.putIfAbsent(column.name(), column));
        }
        return ImmutableList.copyOf(union.values());
    }

    /** For each column its position in the table, -1 where the table lacks it. */
    private static int[] positions(ImmutableList<Column> columns, QueryTable table) {
        ImmutableMap.Builder<String, Integer> byName = ImmutableMap.builder();
        for (int i = 0; i < table.columns().size(); i++) {
            byName.put(table.columns().get(i).name(), i);
        }
        ImmutableMap<String, Integer> positions = byName.buildOrThrow();
        return columns.stream()
                .mapToInt(column -> positions.getOrDefault(column.name(), -1))
                .toArray();
    }

    private static ImmutableList<Cell> align(ImmutableList<Cell> row, int[] source) {
        ImmutableList.Builder<Cell> aligned = ImmutableList.builderWithExpectedSize(source.length);
        for (int position : source) {
            aligned.add(position < 0 ? new Cell.Empty() : row.get(position));
        }
        return aligned.build();
    }

    private static ImmutableList<Cell> key(ImmutableList<Column> columns, ImmutableList<Cell> row) {
        List<Cell> key = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            if (columns.get(i).merge() == ColumnMerge.KEY) {
                key.add(row.get(i));
            }
        }
        return ImmutableList.copyOf(key);
    }

    private static ImmutableList<Cell> fold(
            ImmutableList<Column> columns, ImmutableList<Cell> one, ImmutableList<Cell> other) {
        ImmutableList.Builder<Cell> folded = ImmutableList.builderWithExpectedSize(columns.size());
        for (int i = 0; i < columns.size(); i++) {
            folded.add(fold(columns.get(i).merge(), one.get(i), other.get(i)));
        }
        return folded.build();
    }

    private static Cell fold(ColumnMerge merge, Cell one, Cell other) {
        if (one instanceof Cell.Empty || other instanceof Cell.Empty) {
            return one instanceof Cell.Empty ? other : one;
        }
        return switch (merge) {
            case KEY, ANY -> one;
            case SUM -> sum(one, other);
            case LOWEST -> CellOrder.compare(one, other) <= 0 ? one : other;
            case HIGHEST -> CellOrder.compare(one, other) >= 0 ? one : other;
        };
    }

    private static Cell sum(Cell one, Cell other) {
        if (one instanceof Cell.Whole a && other instanceof Cell.Whole b) {
            return new Cell.Whole(a.number() + b.number());
        }
        return new Cell.Decimal(CellOrder.number(one) + CellOrder.number(other));
    }
}
