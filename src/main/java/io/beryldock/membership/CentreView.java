package io.beryldock.membership;

import com.google.common.primitives.Longs;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the records of one data centre and their bucketed digest.
 *
 * <p>Invariant: the value of a bucket is the exclusive or of the fingerprints of the live records whose ids hash to it.
 * Confined to the control thread.
 */
final class CentreView {

    static final int BUCKETS = 64;

    private final Map<NodeId, HeldRecord> members = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private long root;

    static List<Long> emptyBuckets() {
        return Collections.nCopies(BUCKETS, 0L);
    }

    static int bucketOf(HeldRecord held) {
        return (int) Math.floorMod(held.idHash(), (long) BUCKETS);
    }

    void put(HeldRecord held) {
        members.put(held.id(), held);
        toggle(held);
    }

    void remove(HeldRecord held) {
        members.remove(held.id());
        toggle(held);
    }

    Collection<HeldRecord> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    long root() {
        return root;
    }

    List<Long> buckets() {
        return Longs.asList(buckets.clone());
    }

    private void toggle(HeldRecord held) {
        if (held.record().isLive()) {
            buckets[bucketOf(held)] ^= held.fingerprint();
            root ^= held.fingerprint();
        }
    }
}
