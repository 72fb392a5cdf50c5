package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses members for a task by rendezvous hashing: nodes with the same view choose the same ones without a word.
 *
 * <p>Views differ for moments, so a task chosen for may be done by none or by two for that long. Stateless, thread
 * safe.
 */
final class Rendezvous {

    private Rendezvous() {}

    /** The place of the member for the topic, from 0; it is {@code limit} or more when {@code limit} others precede. */
    static int rank(NodeId self, Collection<Held> members, String topic, int limit) {
        long topicHash = MembershipHashing.ofName(topic);
        long own = MembershipHashing.weight(MembershipHashing.ofId(self), topicHash);
        int better = 0;
        for (Held member : members) {
            boolean other = !member.id().equals(self);
            if (other && MembershipHashing.weight(member.idHash(), topicHash) > own) {
                better++;
                if (better >= limit) {
                    break;
                }
            }
        }
        return better;
    }

    /** The members with the highest weights, the highest first. */
    static List<Held> best(Collection<Held> members, String topic, int number) {
        long topicHash = MembershipHashing.ofName(topic);
        Comparator<Held> byWeight =
                Comparator.comparingLong(member -> MembershipHashing.weight(member.idHash(), topicHash));
        return members.stream().sorted(byWeight.reversed()).limit(number).toList();
    }
}
