package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/** Keeps the rows that a show statement asks for. Stateless, thread safe. */
final class RowFilter {

    private static final ImmutableSet<String> SERVICE_COLUMNS = ImmutableSet.of("service");

    /** A target goes by the id of the node in its VM. */
    private static final ImmutableSet<String> NODE_COLUMNS = ImmutableSet.of("node", "target");

    private RowFilter() {}

    static QueryTable apply(ShowStatement show, QueryTable table) {
        QueryTable ofService = keep(table, SERVICE_COLUMNS, show.service().map(Object::toString));
        return keep(ofService, NODE_COLUMNS, show.node().map(Object::toString));
    }

    private static QueryTable keep(QueryTable table, ImmutableSet<String> names, Optional<String> wanted) {
        if (wanted.isEmpty()) {
            return table;
        }
        Cell cell = new Cell.Text(wanted.get());
        for (int i = 0; i < table.columns().size(); i++) {
            if (names.contains(table.columns().get(i).name())) {
                return keep(table, i, cell);
            }
        }
        return table;
    }

    private static QueryTable keep(QueryTable table, int position, Cell wanted) {
        ImmutableList<ImmutableList<Cell>> rows = table.rows().stream()
                .filter(row -> row.get(position).equals(wanted))
                .collect(ImmutableList.toImmutableList());
        return new QueryTable(table.columns(), rows);
    }
}
