package io.beryldock.command;

import java.util.Objects;

/**
 * A change of the operators' configuration that an operator asks for.
 *
 * <p>Immutable.
 *
 * @param operator who asks, for the history; as told by the client, not proven
 * @param dryRun only says what would change
 */
public record ChangeRequest(ChangeStatement.OfConfiguration statement, String operator, boolean dryRun) {

    public ChangeRequest {
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(operator, "operator");
    }
}
