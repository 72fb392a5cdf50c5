package io.beryldock.command;

/** The target in this node's VM, as a port that the node's assembly implements. Thread safe, never blocks. */
public interface LocalTarget {

    /** Stops new work at once and announces the target as leaving; says in a sentence what is still in flight. */
    String drain();

    /** Takes new work again; says in a sentence how the target stands. */
    String undrain();
}
