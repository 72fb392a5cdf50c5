package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.Comparator;

/**
 * Ranks nodes for a task by rendezvous hashing: nodes with the same view choose the same node without communication,
 * and the loss of a node reassigns only its own tasks.
 *
 * <p>While views differ, a task may be done by no node or by two nodes. Stateless, thread safe.
 */
public final class NodeRanking {

    private static final HashFunction WEIGHTS = Hashing.murmur3_128(0x72616e6b);

    private NodeRanking() {}

    /** Returns the nodes in order of preference for the task. */
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
