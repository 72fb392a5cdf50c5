package io.beryldock.membership;

/**
 * A start of the target in this VM that has announced that it leaves. Immutable.
 *
 * @param startedAtMillis wall clock time of the start, or 0 if the target does not tell it
 */
public record DepartedStart(String id, long startedAtMillis) {}
