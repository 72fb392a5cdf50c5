package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The operators, who change the document and give keys out and take them away.
 *
 * <p>Thread safe. Invariant: versions rise, in uneven steps, and no key is given out twice.
 */
final class Operators {

    private static final int KEYS = 3;
    private static final int STEP = 3;

    /** One request in so many names a key that was taken away. */
    private static final int REMOVED_SHARE = 8;

    private final Surroundings surroundings;
    private final SoakLedger ledger;
    private final SplittableRandom random;
    private final Deque<String> keys = new ArrayDeque<>();
    private final List<Long> versions = new ArrayList<>();
    private String removed = "";
    private int given;

    Operators(Surroundings surroundings, SoakLedger ledger, SplittableRandom random) {
        this.surroundings = surroundings;
        this.ledger = ledger;
        this.random = random;
        for (int i = 0; i < KEYS; i++) {
            giveKey();
        }
    }

    /** Writes a new version. */
    synchronized void write() {
        long version = newest() + 1 + random.nextInt(STEP);
        versions.add(version);
        surroundings.publish(version, ImmutableSet.copyOf(keys));
        ledger.add(at -> new SoakEvent.DocumentWritten(at, version));
    }

    /** Takes the oldest key away and gives a new one out. */
    synchronized void changeKeys() {
        String gone = keys.removeFirst();
        giveKey();
        write();
        removed = gone;
        ledger.add(at -> new SoakEvent.KeyRemoved(at, gone));
    }

    /** A key that holds, or now and then the one that was taken away last. */
    synchronized String anyKey() {
        if (!removed.isEmpty() && random.nextInt(REMOVED_SHARE) == 0) {
            return removed;
        }
        return ImmutableList.copyOf(keys).get(random.nextInt(keys.size()));
    }

    /** A key that holds until it is taken away last. */
    synchronized String newestKey() {
        return keys.getLast();
    }

    /** The newest version, or as often any of them. */
    synchronized long anyVersion() {
        if (random.nextBoolean()) {
            return newest();
        }
        return versions.get(random.nextInt(versions.size()));
    }

    private long newest() {
        return versions.isEmpty() ? 0 : versions.get(versions.size() - 1);
    }

    private void giveKey() {
        keys.addLast("soak-key-" + given++);
    }
}
