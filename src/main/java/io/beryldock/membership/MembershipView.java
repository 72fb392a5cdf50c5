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
 * All records that a node holds, by data centre, with their digests.
 *
 * <p>Invariant: the record of an id only rises in the order of {@link MemberRecord#isNewerThan}; a digest is that of
 * the live records held. A record of a failed or left node stays for {@link #TOMBSTONE_RETENTION}, so that an old live
 * record which arrives late does not bring it back. Control thread only.
 */
final class MembershipView {

    /** Exceeds {@link #UNREACHABLE_RETENTION}, so that no view still holds alive what others have forgotten. */
    static final Duration TOMBSTONE_RETENTION = Duration.ofHours(24);

    /** A member that nobody here has reached for so long is taken for failed, even if a partition may be the cause. */
    static final Duration UNREACHABLE_RETENTION = Duration.ofHours(12);

    private static final Duration CONFLICT_PATIENCE = Duration.ofMinutes(10);

    /** What a merge did. */
    enum Merge {
        NEWER,
        SAME,
        OLDER,
        /** Another start of the node is held, and which is the later one cannot be told yet. */
        CONFLICT
    }

    /** A record with the monotonic time when it was taken, and hashes of its id and version. Immutable. */
    record Held(MemberRecord record, long since, long idHash, long fingerprint) {

        NodeId id() {
            return record.id();
        }
    }

    private final BiPredicate<MemberRecord, MemberRecord> newer;
    private final Map<NodeId, Held> all = new HashMap<>();
    private final Map<DataCentre, CentreView> centres = new TreeMap<>();
    private long root;

    private MembershipView(BiPredicate<MemberRecord, MemberRecord> newer) {
        this.newer = newer;
    }

    static MembershipView create(MergeRules rules) {
        return new MembershipView(rules.newer());
    }

    Merge merge(MemberRecord found, long now) {
        Held held = all.get(found.id());
        if (held == null) {
            put(found, now, MembershipHashing.ofId(found.id()));
            return Merge.NEWER;
        }
        if (newer.test(found, held.record())) {
            remove(held);
            put(found, now, held.idHash());
            return Merge.NEWER;
        }
        if (newer.test(held.record(), found)) {
            return Merge.OLDER;
        }
        if (found.isSameStart(held.record())) {
            return Merge.SAME;
        }
        return settleConflict(held, found, now);
    }

    /**
     * Keeps the start that is held: if the other one runs it hears of the conflict and raises its generation.
     *
     * <p>Two starts that never met and are both dead would keep views apart for ever, one of them live to some. So what
     * is long dead here gives way, and observers find out whether the other one runs.
     */
    private Merge settleConflict(Held held, MemberRecord found, long now) {
        boolean longDead = !held.record().isLive() && now - held.since() > CONFLICT_PATIENCE.toNanos();
        if (!longDead || !found.isLive()) {
            return Merge.CONFLICT;
        }
        remove(held);
        put(found, now, held.idHash());
        return Merge.NEWER;
    }

    Optional<MemberRecord> find(NodeId id) {
        return Optional.ofNullable(all.get(id)).map(Held::record);
    }

    Optional<Held> held(NodeId id) {
        return Optional.ofNullable(all.get(id));
    }

    /** Every record of the data centre, dead ones too. */
    Collection<Held> members(DataCentre centre) {
        CentreView view = centres.get(centre);
        return view == null ? List.of() : view.members();
    }

    Set<DataCentre> dataCentres() {
        return centres.keySet();
    }

    int size() {
        return all.size();
    }

    /** Digest of all live records. */
    long root() {
        return root;
    }

    /** Digest of the live records of a data centre, 0 when there are none. */
    long root(DataCentre centre) {
        CentreView view = centres.get(centre);
        return view == null ? 0 : view.root();
    }

    /** Digests of the buckets of a data centre. */
    List<Long> buckets(DataCentre centre) {
        CentreView view = centres.get(centre);
        return view == null ? CentreView.emptyBuckets() : view.buckets();
    }

    /** Drops the records of dead members that are older than their retention; returns the ids dropped. */
    List<NodeId> forgetTombstones(long now) {
        List<Held> old = new ArrayList<>();
        for (Held held : all.values()) {
            boolean expired = now - held.since() > TOMBSTONE_RETENTION.toNanos();
            if (expired && !held.record().isLive()) {
                old.add(held);
            }
        }
        old.forEach(this::remove);
        return old.stream().map(Held::id).toList();
    }

    /** Starts the time of a record anew, as after a pause in which nothing could be heard. */
    void restartClock(NodeId id, long now) {
        held(id).ifPresent(held -> {
            remove(held);
            put(held.record(), now, held.idHash());
        });
    }

    /** Drops every record but that of the id. */
    void clearAllBut(NodeId id) {
        List<Held> others = new ArrayList<>(all.values());
        others.removeIf(held -> held.id().equals(id));
        others.forEach(this::remove);
    }

    private void put(MemberRecord member, long now, long idHash) {
        Held held = new Held(member, now, idHash, MembershipHashing.ofRecord(member));
        all.put(member.id(), held);
        root ^= held.record().isLive() ? held.fingerprint() : 0;
        centres.computeIfAbsent(member.node().dataCentre(), name -> new CentreView())
                .put(held);
    }

    private void remove(Held held) {
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
