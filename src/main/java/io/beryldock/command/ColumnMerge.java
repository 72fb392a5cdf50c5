package io.beryldock.command;

/** How the cells of a column become one when rows of several nodes have the same key. */
public enum ColumnMerge {
    /** Part of the key of a row: rows become one only when these cells are equal. */
    KEY,
    /** The sum of the numbers. */
    SUM,
    /** The lowest number. */
    LOWEST,
    /** The highest number. */
    HIGHEST,
    /** Any one that is known. */
    ANY
}
