package io.beryldock.command;

import java.util.Locale;

/** By what {@code show shed} groups its counts. */
public enum ShedGrouping {
    CLASS,
    SERVICE,
    CALLER;

    /** The word that stands for it in a statement. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
