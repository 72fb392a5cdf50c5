package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.beryldock.membership.NodeDescriptor;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

/**
 * Ranks nodes for a subject by rendezvous hashing: nodes with the same view compute the same ranking, and a node that
 * joins or leaves does not change the relative order of the others. Stateless, thread safe.
 */
final class Rendezvous {

    private static final HashFunction HASH = Hashing.murmur3_128();

    private Rendezvous() {}

    /** Returns the {@code count} highest-ranked nodes for the subject. */
    static ImmutableList<NodeDescriptor> first(Collection<NodeDescriptor> nodes, String subject, int count) {
        Comparator<Ranked> order = Comparator.comparingLong(Ranked::weight)
                .reversed()
                .thenComparing(ranked -> ranked.node().id());
        return nodes.stream()
                .map(node -> new Ranked(weight(subject, node), node))
                .sorted(order)
                .limit(count)
                .map(Ranked::node)
                .collect(ImmutableList.toImmutableList());
    }

    private static long weight(String subject, NodeDescriptor node) {
        return HASH.newHasher()
                .putString(subject, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(node.id().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private record Ranked(long weight, NodeDescriptor node) {}
}
