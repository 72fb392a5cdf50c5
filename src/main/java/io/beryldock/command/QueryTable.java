package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * A table of typed columns.
 *
 * <p>Immutable. Each row has one cell a column.
 */
public record QueryTable(ImmutableList<Column> columns, ImmutableList<ImmutableList<Cell>> rows) {

    private static final QueryTable EMPTY = new QueryTable(ImmutableList.of(), ImmutableList.of());

    public QueryTable {
        Objects.requireNonNull(columns, "columns");
        for (ImmutableList<Cell> row : rows) {
            if (row.size() != columns.size()) {
                throw new IllegalArgumentException(
                        "a row has " + row.size() + " cells for " + columns.size() + " columns");
            }
        }
    }

    /** No column and no row. */
    public static QueryTable empty() {
        return EMPTY;
    }

    public static Builder builder(Column... columns) {
        return new Builder(ImmutableList.copyOf(columns));
    }

    public static Builder builder(List<Column> columns) {
        return new Builder(ImmutableList.copyOf(columns));
    }

    /** Gathers rows. Not thread safe. */
    public static final class Builder {
        private final ImmutableList<Column> columns;
        private final ImmutableList.Builder<ImmutableList<Cell>> rows = ImmutableList.builder();

        private Builder(ImmutableList<Column> columns) {
            this.columns = columns;
        }

        /** Adds a row of bare values: {@link String}, whole or floating number, or null for nothing known. */
        public Builder row(Object... values) {
            return row(Arrays.stream(values).map(Cell::of).collect(ImmutableList.toImmutableList()));
        }

        public Builder row(ImmutableList<Cell> row) {
            rows.add(row);
            return this;
        }

        public Builder rows(Collection<ImmutableList<Cell>> all) {
            rows.addAll(all);
            return this;
        }

        public QueryTable build() {
            return new QueryTable(columns, rows.build());
        }
    }
}
