package io.beryldock.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.beryldock.call.NodeId;

/**
 * The hashes that all nodes must agree on: of records for digests, of ids for rings and rendezvous choice.
 *
 * <p>Stateless, thread safe. To change one is a change of the protocol.
 */
final class MembershipHashing {

    private static final HashFunction FUNCTION = Hashing.murmur3_128(0x62657279);

    private MembershipHashing() {}

    /** Hash of a name, from which its place on rings and its rendezvous weights come. */
    static long ofName(String name) {
        return FUNCTION.hashUnencodedChars(name).asLong();
    }

    static long ofId(NodeId id) {
        return ofName(id.value());
    }

    /** Weight of a member for a topic: the members with the highest weights are chosen for it. */
    static long weight(long memberHash, long topicHash) {
        return FUNCTION.newHasher(2 * Long.BYTES)
                .putLong(memberHash)
                .putLong(topicHash)
                .hash()
                .asLong();
    }

    /** Fingerprint of one version of a record. */
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
