package io.beryldock.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * A node's local copy of a shard's documents: a ring buffer in which each new generation overwrites the oldest.
 *
 * <p>Only the newest generation is written. A generation is opened only after its predecessor has been sealed, so a
 * successful write to an unsealed document proves that no newer generation exists and that the local copies of the
 * older, sealed generations are current: a key found in none of them is not bound anywhere. This holds even if the
 * node's previous view was stale, for example after a pause, and requires neither a lease nor a clock. Used on the
 * control thread only.
 */
final class KeyRing {

    /** Slot of the first generation. */
    private static final int FIRST_SLOT = 1;

    private final KeyDocument[] documents;
    private final boolean[] known;

    private KeyRing(int generations) {
        this.documents = new KeyDocument[generations];
        this.known = new boolean[generations];
        Arrays.fill(documents, KeyDocument.ABSENT);
    }

    static KeyRing create(int generations) {
        return new KeyRing(generations);
    }

    void put(int slot, KeyDocument document) {
        documents[slot] = document;
        known[slot] = true;
        if (document.version() == KeyDocument.ABSENT.version()) {
            markAbsentAfter(slot);
        }
    }

    /**
     * Slots are first written in ascending order, so if one has never been written, those after it have not been
     * either.
     */
    private void markAbsentAfter(int slot) {
        for (int next = slotAfter(slot); next != FIRST_SLOT; next = slotAfter(next)) {
            known[next] = true;
        }
    }

    private int slotAfter(int slot) {
        return (slot + 1) % documents.length;
    }

    /** Whether no slot has been read yet. */
    boolean isUnread() {
        for (boolean slotKnown : known) {
            if (slotKnown) {
                return false;
            }
        }
        return true;
    }

    void invalidate(int slot) {
        known[slot] = false;
    }

    void clear() {
        Arrays.fill(known, false);
        Arrays.fill(documents, KeyDocument.ABSENT);
    }

    private int slotOf(long generation) {
        return (int) (generation % documents.length);
    }

    /** The newest generation in the local copy, or {@link KeyDocument#ABSENT} if there is none. */
    KeyDocument newest() {
        KeyDocument newest = KeyDocument.ABSENT;
        for (KeyDocument document : documents) {
            newest = document.generation() > newest.generation() ? document : newest;
        }
        return newest;
    }

    /**
     * Finds the binding of a key. A binding stays valid as long as its document exists, so a stale copy is sufficient
     * to find it.
     */
    Optional<KeyBinding> find(CallerKey key) {
        for (KeyDocument document : documents) {
            Optional<KeyBinding> found = document.find(key);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the slots, in the order of their first write, whose local copy cannot be the final state of their
     * generation and must be read before the next write.
     *
     * <p>Reads of several slots are not an atomic snapshot: a generation that was open when it was read may have
     * received more bindings and been sealed before the next slot was read.
     */
    List<Integer> staleSlots() {
        List<Integer> stale = new ArrayList<>();
        long newest = newest().generation();
        int slot = FIRST_SLOT;
        for (int i = 0; i < documents.length; i++) {
            if (!known[slot] || !isFinal(slot, newest)) {
                stale.add(slot);
            }
            slot = slotAfter(slot);
        }
        return stale;
    }

    private boolean isFinal(int slot, long newest) {
        long distance = Math.floorMod(newest - slot, (long) documents.length);
        long expected = newest - distance;
        if (distance == 0 || expected < 1) {
            return true;
        }
        return documents[slot].generation() == expected && documents[slot].sealed();
    }

    /** A compare-and-set of one slot that expects the version of {@code document}. */
    record Write(int slot, KeyDocument document) {}

    /** Seals the newest generation, so that it accepts no more bindings. */
    Write seal() {
        KeyDocument newest = newest();
        return new Write(slotOf(newest.generation()), newest.seal());
    }

    /**
     * Adds bindings to the newest generation, or to a new one if the newest is sealed. Requires that no slot is stale.
     */
    Write add(Collection<KeyBinding> bindings) {
        KeyDocument newest = newest();
        if (newest.generation() > 0 && !newest.sealed()) {
            return new Write(slotOf(newest.generation()), newest.withBindings(bindings));
        }
        long next = newest.generation() + 1;
        KeyDocument oldest = documents[slotOf(next)];
        return new Write(slotOf(next), KeyDocument.open(next, oldest.version()).withBindings(bindings));
    }
}
