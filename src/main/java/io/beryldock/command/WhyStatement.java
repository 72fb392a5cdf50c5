package io.beryldock.command;

import io.beryldock.call.RequestId;
import java.util.Objects;

/** Asks what was decided over one root request, and why. Immutable. */
public record WhyStatement(RequestId request, boolean everywhere) implements Statement {

    public WhyStatement {
        Objects.requireNonNull(request, "request");
    }

    @Override
    public String text() {
        return "why " + request + (everywhere ? " everywhere" : "");
    }
}
