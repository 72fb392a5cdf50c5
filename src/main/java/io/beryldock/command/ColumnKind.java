package io.beryldock.command;

/** What the cells of a column hold. */
public enum ColumnKind {
    TEXT,
    /** A whole number or one with a fraction. */
    NUMBER,
    /** A length of time in milliseconds. */
    MILLIS,
    /** A time of the hybrid logical clock, in its text form. */
    TIME,
    /** An admission level of {@link io.beryldock.call.ServiceLevel}. */
    LEVEL
}
