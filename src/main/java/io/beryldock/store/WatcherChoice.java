package io.beryldock.store;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which nodes of a data centre watch the store for all of its nodes.
 *
 * <p>Nodes with the same view choose the same watchers without a word, by rendezvous hashing over the nodes that are
 * not suspected. Views differ for moments; then one watcher too many calls the store, or a node hears its news a second
 * later. A node that nobody answers watches by itself, so that a partition inside the system hides nothing that the
 * store would tell. Pure decisions from events and times; not thread safe.
 */
final class WatcherChoice {

    /** Watchers of a data centre while others show whether its watch has gone silent. */
    static final int BESIDE_OTHERS = 1;

    /** Watchers of the only data centre there is: each shows whether the other's watch has gone silent. */
    static final int ALONE = 2;

    /** How long a node that did not answer or lost the store is passed over: longer than most restarts. */
    private static final long SUSPICION = Duration.ofSeconds(10).toNanos();

    /** Time without any answer after which a node relies on nobody: two questions that failed, one a second. */
    private static final long SILENCE = Duration.ofMillis(2500).toNanos();

    private static final String TASK = "store-watcher";

    private final NodeId self;
    private final Map<NodeId, Long> suspectedAt = new HashMap<>();
    private long heardAt;
    private int turn;
    private ImmutableSet<NodeId> members = ImmutableSet.of();
    private List<NodeId> byWeight = List.of();

    WatcherChoice(NodeId self, long now) {
        this.self = self;
        this.heardAt = now;
    }

    /** The node sent something; {@code watching} tells whether it follows the store itself. */
    void heard(NodeId node, boolean watching, long now) {
        heardAt = now;
        if (watching) {
            suspectedAt.remove(node);
        }
    }

    /** The node is no watcher to rely on: it did not answer, or the store does not answer it. */
    void suspect(NodeId node, long now) {
        suspectedAt.put(node, now);
    }

    /** Whether this node has to watch the store, as one of so many of its data centre. */
    boolean isWatcher(ImmutableSet<NodeId> members, int watchers, long now) {
        boolean chosen = ranked(members, now).stream().limit(watchers).anyMatch(self::equals);
        return chosen || now - heardAt > SILENCE;
    }

    /** Whom to ask for news now: the watchers by turns, so that the loss of each of them is noticed. */
    Optional<NodeId> nextToAsk(ImmutableSet<NodeId> members, int watchers, long now) {
        turn++;
        List<NodeId> others =
                ranked(members, now).stream().filter(node -> !node.equals(self)).toList();
        if (!others.isEmpty()) {
            return Optional.of(others.get(turn % Math.min(watchers, others.size())));
        }
        return members.stream().filter(node -> !node.equals(self)).findAny();
    }

    private List<NodeId> ranked(ImmutableSet<NodeId> present, long now) {
        suspectedAt.values().removeIf(since -> now - since > SUSPICION);
        order(present);
        return byWeight.stream().filter(node -> !suspectedAt.containsKey(node)).toList();
    }

    /** Members change seldom and are immutable; weights are worked out again only for other ones. */
    private void order(ImmutableSet<NodeId> present) {
        if (!present.equals(members)) {
            members = present;
            byWeight = NodeRanking.of(present, TASK);
        }
    }
}
