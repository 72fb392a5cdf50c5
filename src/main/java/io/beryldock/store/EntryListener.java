package io.beryldock.store;

import io.beryldock.store.RegistryStore.Entry;
import java.util.Optional;

/** Hears what the store holds under a prefix. Called on the thread of the timers. */
public interface EntryListener {

    /**
     * The entry was written or removed; each change of a key is told once, in the order of revisions.
     *
     * @return whether the entry can be read. One that can't is passed over: what the key held before stays known, here
     *     and to the nodes that learn of it from this one
     */
    boolean onEntry(Entry entry);

    /** The entry that this listener goes by although the store has lost it, or set its key back to an older one. */
    default Optional<Entry> kept() {
        return Optional.empty();
    }

    /** Another node goes by this entry, which the store does not hold any more. */
    default void onKept(Entry entry) {}

    /** Whether the store answered this node's last call. */
    default void onStore(boolean reachable) {}
}
