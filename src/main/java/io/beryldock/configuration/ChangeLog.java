package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The most recent accepted changes that a node knows, without gaps, up to the version in force.
 *
 * <p>Immutable. Invariant: the versions are consecutive. Holds at most {@link #MAX_RECORDS} changes, about 100 KB.
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

    /** Returns the log with later changes added; changes before a gap are dropped. */
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

    /** Returns the change that created the version, or null if the log does not contain it. */
    ChangeRecord at(long version) {
        if (records.isEmpty() || version < records.get(0).version() || version > last()) {
            return null;
        }
        return records.get((int) (version - records.get(0).version()));
    }

    /** Returns the version after which the log contains all changes; for an empty log, the version in force itself. */
    long reach(long versionInForce) {
        return records.isEmpty() ? versionInForce : records.get(0).version() - 1;
    }

    /** Returns up to {@code limit} changes after the version. */
    ImmutableList<ChangeRecord> after(long version, int limit) {
        int from = (int) Math.max(0, version - reach(version));
        int to = Math.min(records.size(), from + limit);
        return from >= to ? ImmutableList.of() : records.subList(from, to);
    }

    private long last() {
        return records.get(records.size() - 1).version();
    }
}
