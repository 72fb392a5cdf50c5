package io.beryldock.command;

import java.util.Objects;
import java.util.Optional;

/**
 * A change of the operators' configuration that an operator asks for.
 *
 * <p>Immutable.
 *
 * @param basedOn the version that the operator has seen; the one in force at the node when absent
 * @param operator who asks, for the history; as told by the client, not proven
 * @param dryRun only says what would change
 */
public record ChangeRequest(
        ChangeStatement.OfConfiguration statement, Optional<Long> basedOn, String operator, boolean dryRun) {

    public ChangeRequest {
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(operator, "operator");
        if (statement instanceof ChangeStatement.BasedOn) {
            throw new IllegalArgumentException("the version that the operator has seen stands beside the change");
        }
    }

    static ChangeRequest of(ChangeStatement.OfConfiguration statement, String operator, boolean dryRun) {
        if (statement instanceof ChangeStatement.BasedOn based) {
            return new ChangeRequest(based.change(), Optional.of(based.version()), operator, dryRun);
        }
        return new ChangeRequest(statement, Optional.empty(), operator, dryRun);
    }
}
