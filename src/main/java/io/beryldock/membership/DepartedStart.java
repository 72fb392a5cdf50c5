package io.beryldock.membership;

/**
 * A start of the target in this VM that has announced that it leaves. Immutable.
 *
 * @param startedAtMillis wall clock time of the start, or 0 if the target does not tell it
 */
public record DepartedStart(String id, long startedAtMillis) {

    /** Whether this departure is also one of the given start: the same one, or an earlier one under the same id. */
    public boolean covers(DepartedStart other) {
        return id.equals(other.id) && other.startedAtMillis <= startedAtMillis;
    }
}
