package io.beryldock.quarantine;

/**
 * A run that was in flight when its target was lost. Immutable.
 *
 * @param suspect whether the run had begun as a suspect's
 */
public record LostRun(Fingerprint request, boolean suspect) {}
