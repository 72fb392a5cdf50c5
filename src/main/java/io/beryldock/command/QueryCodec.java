package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.NodeId;
import io.beryldock.wire.QueryCell;
import io.beryldock.wire.QueryColumn;
import io.beryldock.wire.QueryReply;
import io.beryldock.wire.QueryRow;

/** Turns the results of queries into messages and back. Stateless, thread safe. */
final class QueryCodec {

    private QueryCodec() {}

    static QueryReply reply(QueryResult result) {
        QueryReply.Builder reply = QueryReply.newBuilder()
                .setAnswered(result.answered())
                .setRowsLeftOut(result.rowsLeftOut())
                .addAllNotes(result.notes());
        result.silentNodes().forEach(node -> reply.addSilentNodes(node.value()));
        result.table().columns().forEach(column -> reply.addColumns(column(column)));
        result.table().rows().forEach(row -> reply.addRows(row(row)));
        return reply.build();
    }

    static QueryReply error(String message) {
        return QueryReply.newBuilder().setError(message).build();
    }

    /** Reads a reply without error; throws {@link IllegalArgumentException} when it is malformed. */
    static QueryResult result(QueryReply reply) {
        ImmutableList<Column> columns =
                reply.getColumnsList().stream().map(QueryCodec::column).collect(ImmutableList.toImmutableList());
        ImmutableList<ImmutableList<Cell>> rows =
                reply.getRowsList().stream().map(QueryCodec::row).collect(ImmutableList.toImmutableList());
        return new QueryResult(
                new QueryTable(columns, rows),
                reply.getAnswered(),
                reply.getSilentNodesList().stream()
                        .map(NodeId::of)
                        .collect(ImmutableSortedSet.toImmutableSortedSet(NodeId::compareTo)),
                ImmutableSortedSet.of(),
                ImmutableList.copyOf(reply.getNotesList()),
                reply.getRowsLeftOut());
    }

    private static QueryColumn column(Column column) {
        return QueryColumn.newBuilder()
                .setName(column.name())
                .setKind(column.kind().name())
                .setMerge(column.merge().name())
                .build();
    }

    private static Column column(QueryColumn column) {
        ColumnKind kind = ColumnKind.valueOf(column.getKind());
        return new Column(column.getName(), kind, ColumnMerge.valueOf(column.getMerge()));
    }

    private static QueryRow row(ImmutableList<Cell> row) {
        QueryRow.Builder wire = QueryRow.newBuilder();
        row.forEach(cell -> wire.addCells(cell(cell)));
        return wire.build();
    }

    private static ImmutableList<Cell> row(QueryRow row) {
        return row.getCellsList().stream().map(QueryCodec::cell).collect(ImmutableList.toImmutableList());
    }

    private static QueryCell cell(Cell cell) {
        QueryCell.Builder wire = QueryCell.newBuilder();
        if (cell instanceof Cell.Text text) {
            wire.setText(text.text());
        } else if (cell instanceof Cell.Whole whole) {
            wire.setWhole(whole.number());
        } else if (cell instanceof Cell.Decimal decimal) {
            wire.setDecimal(decimal.number());
        }
        return wire.build();
    }

    private static Cell cell(QueryCell cell) {
        return switch (cell.getValueCase()) {
            case TEXT -> new Cell.Text(cell.getText());
            case WHOLE -> new Cell.Whole(cell.getWhole());
            case DECIMAL -> new Cell.Decimal(cell.getDecimal());
            case VALUE_NOT_SET -> new Cell.Empty();
        };
    }
}
