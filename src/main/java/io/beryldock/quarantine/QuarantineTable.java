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
 * A bounded table of the requests in flight at crashes.
 *
 * <p>Invariant: at most the configured number of entries. Above it the least significant entry is evicted, and a
 * conviction only when all other entries are convictions too. Not thread safe.
 */
final class QuarantineTable {

    /** How long an entry is kept after its expiry; far longer than a delta needs to reach all nodes. */
    static final long RETENTION_NANOS = Duration.ofMinutes(1).toNanos();

    private final int maxEntries;
    private final Runnable firstChange;
    private final Map<Fingerprint, Map<Long, CrashEvidence>> requests = new HashMap<>();
    private final Set<Key> changed = new LinkedHashSet<>();
    private final Multiset<Long> crashIds = HashMultiset.create();
    private int entries;

    /** Creates a table that reports its first change, and the first change after each {@link #takeChanged()}. */
    QuarantineTable(int maxEntries, Runnable firstChange) {
        this.maxEntries = maxEntries;
        this.firstChange = firstChange;
    }

    /** The key of an entry: its request and crash. */
    record Key(Fingerprint fingerprint, long crash) {}

    /** An entry with its key. */
    record Row(Key key, CrashEvidence evidence) {}

    /** Whether any entry is live. */
    boolean hasLive(long now) {
        return requests.values().stream()
                .anyMatch(crashes -> crashes.values().stream().anyMatch(evidence -> evidence.isLive(now)));
    }

    boolean knowsCrash(long crash) {
        return crashIds.contains(crash);
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

    /** Merges an entry; returns whether the table changed. */
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
            crashIds.add(kept.crash());
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

    /** Clears the live entries that match; returns their number. */
    int clear(Predicate<Row> filter, long now) {
        List<Row> rows = rows(row -> row.evidence().isLive(now) && filter.test(row));
        rows.forEach(row -> merge(row.key(), row.evidence().clear()));
        return rows.size();
    }

    /** Clears the live entries of one request; returns their number. */
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

    List<Row> rows(Predicate<Row> filter) {
        List<Row> rows = new ArrayList<>();
        requests.forEach((fingerprint, crashes) -> crashes.forEach((crash, evidence) -> {
            Row row = new Row(new Key(fingerprint, crash), evidence);
            if (filter.test(row)) {
                rows.add(row);
            }
        }));
        return rows;
    }

    /** Returns the entries that changed since the last call and are still held. */
    List<Row> takeChanged() {
        List<Row> rows = new ArrayList<>();
        changed.forEach(key -> find(key).ifPresent(evidence -> rows.add(new Row(key, evidence))));
        changed.clear();
        return rows;
    }

    /**
     * Removes entries some time after their expiry.
     *
     * <p>The remaining time in a delta is too long by the delta's transit time. A node that had already removed the
     * entry would add it again and forward it, so the entry would circulate between the nodes forever.
     */
    void expire(long now) {
        for (Row row : rows(r -> now >= r.evidence().expiresNanos() + RETENTION_NANOS)) {
            remove(row.key());
        }
    }

    private void remove(Key key) {
        Map<Long, CrashEvidence> crashes = requests.get(key.fingerprint());
        crashes.remove(key.crash());
        changed.remove(key);
        entries--;
        crashIds.remove(key.crash());
        if (crashes.isEmpty()) {
            requests.remove(key.fingerprint());
        }
    }

    /** Evicts cleared entries first, then suspicions, then convictions; of each kind the entry that expires first. */
    private void evict() {
        Comparator<Row> order = Comparator.<Row, Boolean>comparing(
                        row -> !row.evidence().cleared())
                .thenComparing(row -> row.evidence().ranAlone())
                .thenComparing(row -> row.evidence().expiresNanos());
        rows(row -> true).stream().min(order).ifPresent(row -> remove(row.key()));
    }
}
