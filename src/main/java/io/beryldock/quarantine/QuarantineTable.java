package io.beryldock.quarantine;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What is known of requests in flight at crashes.
 *
 * <p>Invariant: at most the set number of entries; over it the least telling goes, and a conviction only when all
 * others are convictions too. Not thread safe.
 */
final class QuarantineTable {

    /** How long an entry is remembered after its end; far above the time that news needs to reach all nodes. */
    static final long REMEMBERED_NANOS = Duration.ofMinutes(1).toNanos();

    private final int maxEntries;
    private final Runnable firstChange;
    private final Map<Fingerprint, Map<Long, CrashEvidence>> requests = new HashMap<>();
    private final Set<Key> changed = new LinkedHashSet<>();
    private final Multiset<Long> crashNames = HashMultiset.create();
    private int entries;

    /** A table that tells of the first change after the start, and after each taking of the changes. */
    QuarantineTable(int maxEntries, Runnable firstChange) {
        this.maxEntries = maxEntries;
        this.firstChange = firstChange;
    }

    /** An entry's request and crash. */
    record Key(Fingerprint fingerprint, long crash) {}

    /** An entry with its key. */
    record Row(Key key, CrashEvidence evidence) {}

    /** Whether any entry counts now. */
    boolean hasLive(long now) {
        return requests.values().stream()
                .anyMatch(crashes -> crashes.values().stream().anyMatch(evidence -> evidence.isLive(now)));
    }

    boolean knowsCrash(long crash) {
        return crashNames.contains(crash);
    }

    Verdict verdict(Fingerprint fingerprint, long now) {
        Verdict verdict = Verdict.FREE;
        for (CrashEvidence evidence :
                requests.getOrDefault(fingerprint, Map.of()).values()) {
            if (evidence.isLive(now)) {
                verdict = evidence.ranAlone() ? Verdict.REFUSED : verdict == Verdict.FREE ? Verdict.ALONE : verdict;
            }
        }
        return verdict;
    }

    /** Merges an entry; true when that changed anything. */
    boolean merge(Key key, CrashEvidence evidence) {
        CrashEvidence old = find(key).orElse(null);
        CrashEvidence merged = old == null ? evidence : old.merge(evidence);
        if (merged.equals(old)) {
            return false;
        }
        Key kept = old == null ? new Key(key.fingerprint().detached(), key.crash()) : key;
        requests.computeIfAbsent(kept.fingerprint(), f -> new HashMap<>()).put(kept.crash(), merged);
        if (old == null) {
            entries++;
            crashNames.add(kept.crash());
        }
        noteChange(kept);
        if (entries > maxEntries) {
            evict();
        }
        return true;
    }

    private void noteChange(Key key) {
        boolean first = changed.isEmpty();
        changed.add(key);
        if (first) {
            firstChange.run();
        }
    }

    Optional<CrashEvidence> find(Key key) {
        return Optional.ofNullable(
                requests.getOrDefault(key.fingerprint(), Map.of()).get(key.crash()));
    }

    /** Clears the live entries that fit; returns how many. */
    int clear(Predicate<Row> fits, long now) {
        List<Row> rows = rows(row -> row.evidence().isLive(now) && fits.test(row));
        rows.forEach(row -> merge(row.key(), row.evidence().clear()));
        return rows.size();
    }

    /** Clears the live entries of one request. */
    int clear(Fingerprint fingerprint, long now) {
        int count = 0;
        for (Map.Entry<Long, CrashEvidence> entry :
                List.copyOf(requests.getOrDefault(fingerprint, Map.of()).entrySet())) {
            if (entry.getValue().isLive(now)) {
                merge(new Key(fingerprint, entry.getKey()), entry.getValue().clear());
                count++;
            }
        }
        return count;
    }

    List<Row> rows(Predicate<Row> fits) {
        List<Row> rows = new ArrayList<>();
        requests.forEach((fingerprint, crashes) -> crashes.forEach((crash, evidence) -> {
            Row row = new Row(new Key(fingerprint, crash), evidence);
            if (fits.test(row)) {
                rows.add(row);
            }
        }));
        return rows;
    }

    /** Entries that changed since the last call and are still held. */
    List<Row> takeChanged() {
        List<Row> rows = new ArrayList<>();
        changed.forEach(key -> find(key).ifPresent(evidence -> rows.add(new Row(key, evidence))));
        changed.clear();
        return rows;
    }

    /**
     * Forgets entries some time after their end.
     *
     * <p>News under way for a moment says a remaining time that is too long by that moment. A node that had forgotten
     * the entry would take it up again, tell others, and the news would go round for ever.
     */
    void expire(long now) {
        for (Row row : rows(r -> now >= r.evidence().expiresNanos() + REMEMBERED_NANOS)) {
            remove(row.key());
        }
    }

    private void remove(Key key) {
        Map<Long, CrashEvidence> crashes = requests.get(key.fingerprint());
        crashes.remove(key.crash());
        changed.remove(key);
        entries--;
        crashNames.remove(key.crash());
        if (crashes.isEmpty()) {
            requests.remove(key.fingerprint());
        }
    }

    /** Cleared entries go first, then plain suspicions, then convictions; of each the one that ends soonest. */
    private void evict() {
        Comparator<Row> order = Comparator.<Row, Boolean>comparing(
                        row -> !row.evidence().cleared())
                .thenComparing(row -> row.evidence().ranAlone())
                .thenComparing(row -> row.evidence().expiresNanos());
        rows(row -> true).stream().min(order).ifPresent(row -> remove(row.key()));
    }
}
