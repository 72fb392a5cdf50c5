package io.beryldock.configuration;

import java.time.Instant;
import java.util.Objects;

/**
 * One accepted change: the step from the previous version to its own version. Immutable.
 *
 * <p>It holds the new value of the setting and not the operator's statement to be re-executed, so that nodes of all
 * releases arrive at the same document.
 *
 * @param changeId 32 hexadecimal digits, chosen by the writer
 * @param operator name of the operator who submitted the change
 * @param at time of the change by the clock of the writing node; for display only, no decision depends on it
 * @param touched the setting, or the field of it, that the operator named
 * @param edit the effect on the setting
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
