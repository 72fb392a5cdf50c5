package io.beryldock.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.beryldock.call.NodeId;

/**
 * The hash functions that must be identical on all nodes: of records for digests, and of ids for rings and rendezvous
 * hashing.
 *
 * <p>Stateless and thread-safe. A change to any of them is a change of the protocol.
 */
final class MembershipHashing {

    private static final HashFunction FUNCTION = Hashing.murmur3_128(0x62657279);

    private MembershipHashing() {}

    /** Returns the hash of a name, which determines its position on rings and its rendezvous weights. */
    static long ofName(String name) {
        return FUNCTION.hashUnencodedChars(name).asLong();
    }

    static long ofId(NodeId id) {
        return ofName(id.value());
    }

    /**
     * Returns the rendezvous weight of a member for a topic; the members with the highest weights are chosen for the
     * topic.
     */
    static long weight(long memberHash, long topicHash) {
        return FUNCTION.newHasher(2 * Long.BYTES)
                .putLong(memberHash)
                .putLong(topicHash)
                .hash()
                .asLong();
    }

    /** Returns the fingerprint of one version of a record. */
    static long ofRecord(MemberRecord member) {
        return FUNCTION.newHasher()
                .putUnencodedChars(member.node().id().value())
                .putLong(member.node().incarnation().high())
                .putLong(member.node().incarnation().low())
                .putInt(member.generation())
                .putLong(member.revision())
                .putUnencodedChars(member.status().name())
                .hash()
                .asLong();
    }
}
