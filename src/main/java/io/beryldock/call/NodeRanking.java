package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.Comparator;

/**
 * Orders nodes for a task by rendezvous hashing: nodes that know the same others choose the same ones without a word,
 * and the loss of one moves only its tasks.
 *
 * <p>Views differ for moments, so a task may be done by none or by two for that long. Stateless, thread safe.
 */
public final class NodeRanking {

    private static final HashFunction WEIGHTS = Hashing.murmur3_128(0x72616e6b);

    private NodeRanking() {}

    /** The nodes in the order in which they are chosen for the task. */
    public static ImmutableList<NodeId> of(Collection<NodeId> nodes, String task) {
        return ImmutableList.sortedCopyOf(Comparator.comparingLong(node -> weight(node, task)), nodes);
    }

    private static long weight(NodeId node, String task) {
        return WEIGHTS.newHasher()
                .putUnencodedChars(task)
                .putChar('/')
                .putUnencodedChars(node.value())
                .hash()
                .asLong();
    }
}
