package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses members for a task by rendezvous hashing, so that nodes with the same view make the same choice without
 * communication.
 *
 * <p>While views differ, a task may briefly be performed by no member or by two. Stateless and thread-safe.
 */
final class Rendezvous {

    private Rendezvous() {}

    /**
     * Returns the 0-based rank of {@code self} among the members for the topic, or {@code limit} if at least that many
     * members rank higher.
     */
    static int rank(NodeId self, Collection<HeldRecord> members, String topic, int limit) {
        long topicHash = MembershipHashing.ofName(topic);
        long own = MembershipHashing.weight(MembershipHashing.ofId(self), topicHash);
        int higher = 0;
        for (HeldRecord member : members) {
            boolean other = !member.id().equals(self);
            if (other && MembershipHashing.weight(member.idHash(), topicHash) > own) {
                higher++;
                if (higher >= limit) {
                    break;
                }
            }
        }
        return higher;
    }

    /** Returns the members with the highest weights, in descending order of weight. */
    static List<HeldRecord> best(Collection<HeldRecord> members, String topic, int number) {
        long topicHash = MembershipHashing.ofName(topic);
        Comparator<HeldRecord> byWeight =
                Comparator.comparingLong(member -> MembershipHashing.weight(member.idHash(), topicHash));
        return members.stream().sorted(byWeight.reversed()).limit(number).toList();
    }
}
