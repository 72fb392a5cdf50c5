package io.beryldock.command;

import java.util.Objects;

/** Asks what a change would do, and does not do it. Immutable. */
public record ExplainStatement(ChangeStatement change) implements Statement {

    public ExplainStatement {
        Objects.requireNonNull(change, "change");
    }

    @Override
    public String text() {
        return "explain " + change.text();
    }
}
