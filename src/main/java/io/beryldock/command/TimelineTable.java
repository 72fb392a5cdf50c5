package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import io.beryldock.timeline.Event;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.HlcTime;
import java.util.Collection;
import java.util.Optional;

/** Turns events into rows of {@link ShowColumns#TIMELINE} and back. Stateless, thread safe. */
public final class TimelineTable {

    private TimelineTable() {}

    public static QueryTable of(Collection<Event> events) {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.TIMELINE);
        for (Event event : events) {
            table.row(
                    event.time().toString(),
                    event.dataCentre().value(),
                    event.node().value(),
                    event.kind().name(),
                    event.subject(),
                    event.request().map(RequestId::toString).orElse(null),
                    event.count(),
                    event.detail());
        }
        return table.build();
    }

    /** The events as the answer to {@code why}: all are about one request, or about what it met. */
    static QueryTable why(Collection<Event> events) {
        QueryTable.Builder table = QueryTable.builder(ShowColumns.WHY);
        for (Event event : events) {
            table.row(
                    event.time().toString(),
                    event.dataCentre().value(),
                    event.node().value(),
                    event.kind().name(),
                    event.subject(),
                    event.detail());
        }
        return table.build();
    }

    /** The events of a table with those columns; throws {@link IllegalArgumentException} when a cell is malformed. */
    public static ImmutableList<Event> events(QueryTable table) {
        if (!table.columns().equals(ShowColumns.TIMELINE)) {
            throw new IllegalArgumentException("the node's time line has other columns; use the release that it runs");
        }
        ImmutableList.Builder<Event> events = ImmutableList.builder();
        long id = 0;
        for (ImmutableList<Cell> row : table.rows()) {
            events.add(event(++id, new Reader(row)));
        }
        return events.build();
    }

    private static Event event(long id, Reader row) {
        HlcTime time = HlcTime.parse(row.text());
        DataCentre dataCentre = DataCentre.of(row.text());
        NodeId node = NodeId.of(row.text());
        EventKind kind = EventKind.valueOf(row.text());
        String subject = row.text();
        Optional<RequestId> request = row.optionalText().map(RequestId::parse);
        long count = row.whole();
        return new Event(id, time, node, dataCentre, kind, request, subject, row.text(), count);
    }

    /** Reads the cells of a row from the left. */
    private static final class Reader {
        private final ImmutableList<Cell> row;
        private int next;

        Reader(ImmutableList<Cell> row) {
            this.row = row;
        }

        String text() {
            return optionalText().orElse("");
        }

        Optional<String> optionalText() {
            Cell cell = row.get(next++);
            return cell instanceof Cell.Text text ? Optional.of(text.text()) : Optional.empty();
        }

        long whole() {
            Cell cell = row.get(next++);
            if (cell instanceof Cell.Whole whole) {
                return whole.number();
            }
            throw new IllegalArgumentException("a number was expected in column " + next);
        }
    }
}
