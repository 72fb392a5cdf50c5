package io.beryldock.command;

/**
 * One parsed statement of the operators' language.
 *
 * <p>Immutable. {@link #text} is its canonical form, which parses to an equal statement.
 */
public sealed interface Statement
        permits ShowStatement, WhyStatement, ChangeStatement, ExplainStatement, WatchStatement {

    /** The canonical text. */
    String text();
}
