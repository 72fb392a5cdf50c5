package io.beryldock.membership;

import com.google.common.primitives.Longs;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The records of one data centre, and their digest in buckets.
 *
 * <p>Invariant: a bucket is the exclusive or of the fingerprints of the live records whose id falls into it. Control
 * thread only.
 */
final class CentreView {

    static final int BUCKETS = 64;

    private final Map<NodeId, Held> members = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private long root;

    static List<Long> emptyBuckets() {
        return Collections.nCopies(BUCKETS, 0L);
    }

    static int bucketOf(Held held) {
        return (int) Math.floorMod(held.idHash(), (long) BUCKETS);
    }

    void put(Held held) {
        members.put(held.id(), held);
        toggle(held);
    }

    void remove(Held held) {
        members.remove(held.id());
        toggle(held);
    }

    Collection<Held> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    long root() {
        return root;
    }

    List<Long> buckets() {
        return Longs.asList(buckets.clone());
    }

    private void toggle(Held held) {
        if (held.record().isLive()) {
            buckets[bucketOf(held)] ^= held.fingerprint();
            root ^= held.fingerprint();
        }
    }
}
