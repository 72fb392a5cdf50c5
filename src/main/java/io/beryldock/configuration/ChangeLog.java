package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The last accepted changes that a node has seen, without a gap, up to the version in force.
 *
 * <p>Immutable. Invariant: the versions are consecutive. Holds at most {@link #MAX_RECORDS}, about 100 KB.
 */
final class ChangeLog {

    static final int MAX_RECORDS = 256;

    private static final ChangeLog EMPTY = new ChangeLog(ImmutableList.of());

    private final ImmutableList<ChangeRecord> records;

    private ChangeLog(ImmutableList<ChangeRecord> records) {
        this.records = records;
    }

    static ChangeLog empty() {
        return EMPTY;
    }

    ImmutableList<ChangeRecord> records() {
        return records;
    }

    /** The log with later changes; those before a gap are dropped. */
    ChangeLog plus(List<ChangeRecord> later) {
        if (later.isEmpty()) {
            return this;
        }
        ImmutableList.Builder<ChangeRecord> all = ImmutableList.builder();
        long first = later.get(0).version();
        if (!records.isEmpty() && last() >= first - 1) {
            records.stream().filter(old -> old.version() < first).forEach(all::add);
        }
        ImmutableList<ChangeRecord> joined = all.addAll(later).build();
        int excess = Math.max(0, joined.size() - MAX_RECORDS);
        return new ChangeLog(joined.subList(excess, joined.size()));
    }

    /** The change that made the version, or null. */
    ChangeRecord at(long version) {
        if (records.isEmpty() || version < records.get(0).version() || version > last()) {
            return null;
        }
        return records.get((int) (version - records.get(0).version()));
    }

    /** The version from which on the changes after it are all here; the version in force itself for an empty log. */
    long reach(long versionInForce) {
        return records.isEmpty() ? versionInForce : records.get(0).version() - 1;
    }

    /** Changes after the version, at most so many. */
    ImmutableList<ChangeRecord> after(long version, int most) {
        int from = (int) Math.max(0, version - reach(version));
        int to = Math.min(records.size(), from + most);
        return from >= to ? ImmutableList.of() : records.subList(from, to);
    }

    private long last() {
        return records.get(records.size() - 1).version();
    }
}
