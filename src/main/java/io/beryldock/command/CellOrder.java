package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Ordering;
import io.beryldock.timeline.HlcTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Orders cells and rows. Stateless, thread safe. */
final class CellOrder {

    private static final String SHED = "shed";
    private static final String VERSION = "version";

    private CellOrder() {}

    /** Nothing known comes first, then numbers by value, then words. */
    static int compare(Cell one, Cell other) {
        if (one instanceof Cell.Text a && other instanceof Cell.Text b) {
            return a.text().compareTo(b.text());
        }
        if (one instanceof Cell.Whole a && other instanceof Cell.Whole b) {
            return Long.compare(a.number(), b.number());
        }
        if (isNumber(one) && isNumber(other)) {
            return Double.compare(number(one), number(other));
        }
        return Integer.compare(rank(one), rank(other));
    }

    static double number(Cell cell) {
        if (cell instanceof Cell.Whole whole) {
            return whole.number();
        }
        return cell instanceof Cell.Decimal decimal ? decimal.number() : Double.NaN;
    }

    /** The order of a topic's rows: the most shed first, the latest change first, else by the cells from the left. */
    static Comparator<ImmutableList<Cell>> ofRows(ShowTopic topic, ImmutableList<Column> columns) {
        Comparator<ImmutableList<Cell>> order = fromTheLeft(columns);
        return switch (topic) {
            case SHED -> byColumn(columns, SHED).reversed().thenComparing(order);
            case CHANGES -> byColumn(columns, VERSION).reversed().thenComparing(order);
            default -> order;
        };
    }

    private static Comparator<ImmutableList<Cell>> byColumn(ImmutableList<Column> columns, String name) {
        List<String> names = columns.stream().map(Column::name).toList();
        int position = names.indexOf(name);
        return position < 0
                ? fromTheLeft(columns)
                : at(position, columns.get(position).kind());
    }

    private static Comparator<ImmutableList<Cell>> fromTheLeft(ImmutableList<Column> columns) {
        List<Comparator<ImmutableList<Cell>>> orders = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            orders.add(at(i, columns.get(i).kind()));
        }
        return Ordering.compound(orders);
    }

    private static Comparator<ImmutableList<Cell>> at(int position, ColumnKind kind) {
        if (kind == ColumnKind.TIME) {
            return Comparator.comparing(row -> time(row.get(position)));
        }
        return (one, other) -> compare(one.get(position), other.get(position));
    }

    /** Of a cell that holds no time, the earliest. */
    private static HlcTime time(Cell cell) {
        return cell instanceof Cell.Text text ? HlcTime.parse(text.text()) : HlcTime.ZERO;
    }

    private static boolean isNumber(Cell cell) {
        return cell instanceof Cell.Whole || cell instanceof Cell.Decimal;
    }

    private static int rank(Cell cell) {
        if (cell instanceof Cell.Empty) {
            return 0;
        }
        return isNumber(cell) ? 1 : 2;
    }
}
