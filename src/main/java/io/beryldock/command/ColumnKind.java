package io.beryldock.command;

/** What the cells of a column hold. */
public enum ColumnKind {
    /** Words; the key of a row when rows are summed. */
    TEXT,
    /** A whole number of things, which may be summed over nodes. */
    COUNT,
    /** A number that can't be summed over nodes: a level, a version, a share. */
    NUMBER,
    /** A length of time in milliseconds. */
    MILLIS,
    /** A time of the hybrid logical clock, in its text form. */
    TIME
}
