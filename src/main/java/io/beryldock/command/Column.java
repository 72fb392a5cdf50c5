package io.beryldock.command;

import java.util.Objects;

/**
 * A column of a table.
 *
 * <p>Immutable.
 *
 * @param name in lower camel case, as JSON shows it
 * @param merge how cells of several nodes become one
 */
public record Column(String name, ColumnKind kind, ColumnMerge merge) {

    public Column {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(merge, "merge");
    }

    /** Words that are part of a row's key. */
    public static Column key(String name) {
        return new Column(name, ColumnKind.TEXT, ColumnMerge.KEY);
    }

    /** A number that is part of a row's key. */
    public static Column keyNumber(String name) {
        return new Column(name, ColumnKind.NUMBER, ColumnMerge.KEY);
    }

    /** A time that is part of a row's key. */
    public static Column keyTime(String name) {
        return new Column(name, ColumnKind.TIME, ColumnMerge.KEY);
    }

    /** Words that say something of the key. */
    public static Column text(String name) {
        return new Column(name, ColumnKind.TEXT, ColumnMerge.ANY);
    }

    /** How many; summed over nodes. */
    public static Column count(String name) {
        return new Column(name, ColumnKind.NUMBER, ColumnMerge.SUM);
    }

    public static Column lowest(String name, ColumnKind kind) {
        return new Column(name, kind, ColumnMerge.LOWEST);
    }

    public static Column highest(String name, ColumnKind kind) {
        return new Column(name, kind, ColumnMerge.HIGHEST);
    }
}
