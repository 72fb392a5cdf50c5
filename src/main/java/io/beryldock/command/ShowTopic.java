package io.beryldock.command;

import java.util.Locale;

/** What a {@code show} statement can show. */
public enum ShowTopic {
    SHED,
    TARGETS,
    NODES,
    LEVELS,
    RETRIES,
    TICKETS,
    CONNECTIONS,
    CONFIGURATION,
    CHANGES,
    QUARANTINE,
    TIMELINE;

    /** The word that stands for it in a statement. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
