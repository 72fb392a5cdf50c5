package io.beryldock.command;

import com.google.common.collect.ImmutableList;

/** A statement is not in the language; says at which column, and what may stand there. */
public final class StatementException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int column;
    private final ImmutableList<String> expected;

    private StatementException(int column, String message, ImmutableList<String> expected) {
        super(message);
        this.column = column;
        this.expected = expected;
    }

    /** The column counts from 1. */
    public static StatementException at(int column, String message, ImmutableList<String> expected) {
        return new StatementException(column, message, expected);
    }

    public int column() {
        return column;
    }

    public ImmutableList<String> expected() {
        return expected;
    }
}
