package io.beryldock.command;

import java.util.Objects;

/** A column of a table: its name in lower camel case, as JSON shows it, and what its cells hold. Immutable. */
public record Column(String name, ColumnKind kind) {

    public Column {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
    }

    public static Column text(String name) {
        return new Column(name, ColumnKind.TEXT);
    }

    public static Column count(String name) {
        return new Column(name, ColumnKind.COUNT);
    }

    public static Column number(String name) {
        return new Column(name, ColumnKind.NUMBER);
    }

    public static Column millis(String name) {
        return new Column(name, ColumnKind.MILLIS);
    }

    public static Column time(String name) {
        return new Column(name, ColumnKind.TIME);
    }
}
