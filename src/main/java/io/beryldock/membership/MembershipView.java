package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Holds the records of all nodes by data centre, with their digests.
 *
 * <p>Invariants: a record is replaced only by one that is newer by {@link MemberRecord#isNewerThan}, and a digest
 * covers exactly the live records held. The record of a failed or departed node is kept as a tombstone for {@link
 * #TOMBSTONE_RETENTION}, so that an old live record that arrives late does not restore the node. Confined to the
 * control thread.
 */
final class MembershipView {

    /**
     * Exceeds {@link #UNREACHABLE_RETENTION}, so that no view still holds a node as live whose tombstone other nodes
     * have discarded.
     */
    static final Duration TOMBSTONE_RETENTION = Duration.ofHours(24);

    /**
     * A member that no node of this data centre has reached for this long is marked as failed, even if a partition may
     * be the cause.
     */
    static final Duration UNREACHABLE_RETENTION = Duration.ofHours(12);

    private static final Duration CONFLICT_TIMEOUT = Duration.ofMinutes(10);

    /** The result of a merge. */
    enum MergeResult {
        NEWER,
        SAME,
        OLDER,
        /** The view holds another incarnation of the node, and it is not yet known which of the two is later. */
        CONFLICT
    }

    /**
     * A record with the monotonic time at which it entered the view, and the hashes of its id and version. Immutable.
     */
    record HeldRecord(MemberRecord record, long since, long idHash, long fingerprint) {

        NodeId id() {
            return record.id();
        }
    }

    private final BiPredicate<MemberRecord, MemberRecord> newer;
    private final Map<NodeId, HeldRecord> all = new HashMap<>();
    private final Map<DataCentre, CentreView> centres = new TreeMap<>();
    private long root;

    private MembershipView(BiPredicate<MemberRecord, MemberRecord> newer) {
        this.newer = newer;
    }

    static MembershipView create(MergeRules rules) {
        return new MembershipView(rules.newer());
    }

    MergeResult merge(MemberRecord found, long now) {
        HeldRecord held = all.get(found.id());
        if (held == null) {
            put(found, now, MembershipHashing.ofId(found.id()));
            return MergeResult.NEWER;
        }
        if (newer.test(found, held.record())) {
            remove(held);
            put(found, now, held.idHash());
            return MergeResult.NEWER;
        }
        if (newer.test(held.record(), found)) {
            return MergeResult.OLDER;
        }
        if (found.isSameIncarnation(held.record())) {
            return MergeResult.SAME;
        }
        return resolveConflict(held, found, now);
    }

    /**
     * Resolves a conflict of two incarnations in favour of the one held: if the other one is running, it receives the
     * record held and raises its generation.
     *
     * <p>Two dead incarnations that never knew of each other would otherwise keep views different forever, one of them
     * being live in some views. An incarnation that has been dead in this view for a long time is therefore replaced,
     * and the observers find out whether the other one is running.
     */
    private MergeResult resolveConflict(HeldRecord held, MemberRecord found, long now) {
        boolean longDead = !held.record().isLive() && now - held.since() > CONFLICT_TIMEOUT.toNanos();
        if (!longDead || !found.isLive()) {
            return MergeResult.CONFLICT;
        }
        remove(held);
        put(found, now, held.idHash());
        return MergeResult.NEWER;
    }

    Optional<MemberRecord> find(NodeId id) {
        return Optional.ofNullable(all.get(id)).map(HeldRecord::record);
    }

    Optional<HeldRecord> held(NodeId id) {
        return Optional.ofNullable(all.get(id));
    }

    /** Returns all records of the data centre, including tombstones. */
    Collection<HeldRecord> members(DataCentre centre) {
        CentreView view = centres.get(centre);
        return view == null ? List.of() : view.members();
    }

    Set<DataCentre> dataCentres() {
        return centres.keySet();
    }

    int size() {
        return all.size();
    }

    /** Returns the digest of all live records. */
    long root() {
        return root;
    }

    /** Returns the digest of the live records of a data centre, 0 if there are none. */
    long root(DataCentre centre) {
        CentreView view = centres.get(centre);
        return view == null ? 0 : view.root();
    }

    /** Returns the digests of the buckets of a data centre. */
    List<Long> buckets(DataCentre centre) {
        CentreView view = centres.get(centre);
        return view == null ? CentreView.emptyBuckets() : view.buckets();
    }

    /** Removes the tombstones whose retention has expired, and returns their ids. */
    List<NodeId> removeExpiredTombstones(long now) {
        List<HeldRecord> old = new ArrayList<>();
        for (HeldRecord held : all.values()) {
            boolean expired = now - held.since() > TOMBSTONE_RETENTION.toNanos();
            if (expired && !held.record().isLive()) {
                old.add(held);
            }
        }
        old.forEach(this::remove);
        return old.stream().map(HeldRecord::id).toList();
    }

    /** Sets the time of a record to {@code now}, as after a pause in which no message could be received. */
    void resetAge(NodeId id, long now) {
        held(id).ifPresent(held -> {
            remove(held);
            put(held.record(), now, held.idHash());
        });
    }

    /** Removes all records except that of the given id. */
    void removeAllExcept(NodeId id) {
        List<HeldRecord> others = new ArrayList<>(all.values());
        others.removeIf(held -> held.id().equals(id));
        others.forEach(this::remove);
    }

    private void put(MemberRecord member, long now, long idHash) {
        HeldRecord held = new HeldRecord(member, now, idHash, MembershipHashing.ofRecord(member));
        all.put(member.id(), held);
        root ^= held.record().isLive() ? held.fingerprint() : 0;
        centres.computeIfAbsent(member.node().dataCentre(), name -> new CentreView())
                .put(held);
    }

    private void remove(HeldRecord held) {
        all.remove(held.id());
        root ^= held.record().isLive() ? held.fingerprint() : 0;
        DataCentre centre = held.record().node().dataCentre();
        CentreView view = centres.get(centre);
        view.remove(held);
        if (view.members().isEmpty()) {
            centres.remove(centre);
        }
    }
}
