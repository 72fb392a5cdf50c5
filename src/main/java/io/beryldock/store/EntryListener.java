package io.beryldock.store;

import io.beryldock.store.RegistryStore.Entry;
import java.util.Optional;

/** Receives the entries under a prefix of the store and their changes. Called on the timer thread. */
public interface EntryListener {

    /**
     * Handles an entry that was written or removed. Each change of a key is delivered once, in the order of revisions.
     *
     * @return whether the entry could be decoded. An entry that can't be decoded is ignored: the previous value of the
     *     key stays known, at this node and at the nodes that receive it from this one
     */
    boolean onEntry(Entry entry);

    /**
     * The entry that this listener still applies although the store has lost it or has restored an older value of its
     * key.
     */
    default Optional<Entry> retainedEntry() {
        return Optional.empty();
    }

    /** Handles an entry that another node still applies although the store no longer holds it. */
    default void onRetainedEntry(Entry entry) {}

    /** Reports whether the store answered this node's last call. */
    default void onStore(boolean reachable) {}
}
