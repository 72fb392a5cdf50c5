package io.beryldock.command;

import com.google.common.base.CaseFormat;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Renders responses as text for people: an aligned table, then what else there is to say. Stateless, thread safe. */
public final class TableRenderer {

    /** More silent nodes than that are counted only. */
    private static final int MAX_SILENT_NAMED = 20;

    private static final String GAP = "  ";

    private TableRenderer() {}

    /** The response as lines, each ended by a newline. */
    public static String render(OperatorResponse response) {
        List<String> lines = new ArrayList<>();
        response.error().ifPresent(error -> addError(lines, response.statement(), error));
        addTable(lines, response.table());
        response.change().ifPresent(change -> lines.addAll(change.effects()));
        lines.addAll(response.notes());
        if (response.answered() > 0) {
            lines.add("(" + rows(response.table().rows().size()) + " from " + nodes(response.answered()) + ")");
        }
        addSilent(lines, response);
        return text(lines);
    }

    /** Only what is missing from a response: its notes and who did not answer. */
    public static String renderMissing(OperatorResponse response) {
        List<String> lines = new ArrayList<>(response.notes());
        addSilent(lines, response);
        return text(lines);
    }

    private static String text(List<String> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach(line -> text.append(line.stripTrailing()).append('\n'));
        return text.toString();
    }

    private static void addError(List<String> lines, String statement, OperatorResponse.ErrorDetail error) {
        if (error.column() > 0) {
            lines.add(statement);
            lines.add(" ".repeat(error.column() - 1) + "^");
            lines.add("column " + error.column() + ": " + error.message());
        } else {
            lines.add(error.message());
        }
        if (!error.expected().isEmpty()) {
            lines.add("may stand here: " + String.join(", ", error.expected()));
        }
        error.remedy().ifPresent(remedy -> lines.add("remedy: " + remedy));
    }

    private static void addTable(List<String> lines, QueryTable table) {
        if (table.columns().isEmpty()) {
            return;
        }
        List<List<String>> texts = new ArrayList<>();
        texts.add(table.columns().stream().map(TableRenderer::title).toList());
        table.rows().forEach(row -> texts.add(texts(table.columns(), row)));
        int[] widths = widths(texts);
        for (List<String> row : texts) {
            lines.add(line(table.columns(), row, widths));
        }
    }

    /** The column's name in words, without the unit that each cell shows. */
    private static String title(Column column) {
        String name = column.name().replaceAll("Millis$", "");
        return CaseFormat.LOWER_CAMEL.to(CaseFormat.LOWER_HYPHEN, name).replace('-', ' ');
    }

    private static List<String> texts(ImmutableList<Column> columns, ImmutableList<Cell> row) {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            texts.add(CellText.of(row.get(i), columns.get(i).kind()));
        }
        return texts;
    }

    private static int[] widths(List<List<String>> texts) {
        int[] widths = new int[texts.get(0).size()];
        for (List<String> row : texts) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return widths;
    }

    private static String line(ImmutableList<Column> columns, List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            boolean right = isNumber(columns.get(i).kind());
            String text = row.get(i);
            line.append(i == 0 ? "" : GAP)
                    .append(right ? Strings.padStart(text, widths[i], ' ') : Strings.padEnd(text, widths[i], ' '));
        }
        return line.toString();
    }

    private static boolean isNumber(ColumnKind kind) {
        return kind == ColumnKind.NUMBER || kind == ColumnKind.MILLIS;
    }

    private static void addSilent(List<String> lines, OperatorResponse response) {
        if (!response.silentNodes().isEmpty()) {
            int silent = response.silentNodes().size();
            String names = silent > MAX_SILENT_NAMED ? "" : ": " + String.join(", ", response.silentNodes());
            lines.add("no answer from " + nodes(silent) + names);
        }
        if (!response.silentDataCentres().isEmpty()) {
            lines.add("no answer from data centre " + String.join(", ", response.silentDataCentres()));
        }
    }

    private static String rows(int number) {
        return number == 1 ? "1 row" : number + " rows";
    }

    private static String nodes(int number) {
        return number == 1 ? "1 node" : number + " nodes";
    }
}
