package io.beryldock.configuration;

import java.time.Instant;
import java.util.Objects;

/**
 * One accepted change: the step from the version before to its own. Immutable.
 *
 * <p>It holds the setting's new value, not the operator's statement to be run again, so that every node comes to the
 * same document whatever its release.
 *
 * @param changeId 32 hexadecimal digits, chosen by the writer
 * @param operator who submitted it
 * @param at when, by the clock of the node that wrote it; for people only, no decision reads it
 * @param touched the setting, or the field of it, that the operator named
 * @param edit what becomes of the setting
 */
public record ChangeRecord(
        long version,
        String changeId,
        String operator,
        Instant at,
        SettingKey touched,
        String statement,
        SettingEdit edit) {

    public ChangeRecord {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(touched, "touched");
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(edit, "edit");
    }
}
