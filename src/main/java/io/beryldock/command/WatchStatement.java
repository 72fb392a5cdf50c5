package io.beryldock.command;

import java.util.Objects;

/** Shows a topic again and again until it is interrupted; the client repeats it. Immutable. */
public record WatchStatement(ShowStatement show) implements Statement {

    public WatchStatement {
        Objects.requireNonNull(show, "show");
    }

    @Override
    public String text() {
        return "watch " + show.text();
    }
}
