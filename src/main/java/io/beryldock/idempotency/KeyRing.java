package io.beryldock.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * One node's copy of a shard's documents, a ring in which each generation takes the place of the oldest.
 *
 * <p>Only the newest generation is written to. It is opened after the one before was sealed, so a write that succeeds
 * on an unsealed document proves that no newer one exists, and that the copies of the older ones, sealed, are still
 * right: a key found in none of them was bound nowhere. That holds whatever the node believed before, also after a
 * pause, and needs neither a lease nor a clock. Used on the control thread only.
 */
final class KeyRing {

    /** Place of the first generation. */
    private static final int FIRST_PLACE = 1;

    private final KeyDocument[] places;
    private final boolean[] known;

    private KeyRing(int generations) {
        this.places = new KeyDocument[generations];
        this.known = new boolean[generations];
        Arrays.fill(places, KeyDocument.ABSENT);
    }

    static KeyRing create(int generations) {
        return new KeyRing(generations);
    }

    void put(int place, KeyDocument document) {
        places[place] = document;
        known[place] = true;
        if (document.version() == KeyDocument.ABSENT.version()) {
            noteAbsentAfter(place);
        }
    }

    /** Places are first written in their order, so when one was never written to, those after it were not either. */
    private void noteAbsentAfter(int place) {
        for (int next = after(place); next != FIRST_PLACE; next = after(next)) {
            known[next] = true;
        }
    }

    private int after(int place) {
        return (place + 1) % places.length;
    }

    /** Whether nothing has been read yet. */
    boolean isUnknown() {
        for (boolean one : known) {
            if (one) {
                return false;
            }
        }
        return true;
    }

    void forget(int place) {
        known[place] = false;
    }

    void forgetAll() {
        Arrays.fill(known, false);
        Arrays.fill(places, KeyDocument.ABSENT);
    }

    private int placeOf(long generation) {
        return (int) (generation % places.length);
    }

    /** The newest generation known, {@link KeyDocument#ABSENT} when there is none. */
    KeyDocument newest() {
        KeyDocument newest = KeyDocument.ABSENT;
        for (KeyDocument document : places) {
            newest = document.generation() > newest.generation() ? document : newest;
        }
        return newest;
    }

    /** A binding once made stays true while its document stands, so an old copy serves to find one. */
    Optional<KeyBinding> find(CallerKey key) {
        for (KeyDocument document : places) {
            Optional<KeyBinding> found = document.find(key);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    /**
     * Places, in the order of their first writing, whose copy can't be the last state of their generation, and have to
     * be read before anything is written.
     *
     * <p>Reads of several places are not one point in time: a generation read while open may have been sealed, with
     * more in it, before the next one was read.
     */
    List<Integer> stale() {
        List<Integer> stale = new ArrayList<>();
        long newest = newest().generation();
        int place = FIRST_PLACE;
        for (int i = 0; i < places.length; i++) {
            if (!known[place] || !isLast(place, newest)) {
                stale.add(place);
            }
            place = after(place);
        }
        return stale;
    }

    private boolean isLast(int place, long newest) {
        long back = Math.floorMod(newest - place, (long) places.length);
        long expected = newest - back;
        if (back == 0 || expected < 1) {
            return true;
        }
        return places[place].generation() == expected && places[place].sealed();
    }

    /** A write to a place, on condition that its document's version is still that of {@code after}. */
    record Write(int place, KeyDocument after) {}

    /** Seals the newest generation, so that it takes no more bindings. */
    Write seal() {
        KeyDocument newest = newest();
        return new Write(placeOf(newest.generation()), newest.seal());
    }

    /**
     * Adds bindings to the newest generation, or to a new one when the newest is sealed. Needs a ring without stale
     * places.
     */
    Write add(Collection<KeyBinding> bindings) {
        KeyDocument newest = newest();
        if (newest.generation() > 0 && !newest.sealed()) {
            return new Write(placeOf(newest.generation()), newest.with(bindings));
        }
        long next = newest.generation() + 1;
        KeyDocument oldest = places[placeOf(next)];
        return new Write(placeOf(next), KeyDocument.open(next, oldest.version()).with(bindings));
    }
}
