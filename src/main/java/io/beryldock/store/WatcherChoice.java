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
 * Chooses the nodes of a data centre that watch the store for all of its nodes.
 *
 * <p>Nodes with the same membership view choose the same watchers without communication, by rendezvous hashing over the
 * nodes that are not suspected. While views differ, an additional watcher may call the store, or a node may receive
 * changes a second later. A node that receives no answers watches the store itself, so that a partition between nodes
 * does not hide the store's changes. The class decides only from reported events and times; not thread safe.
 */
final class WatcherChoice {

    /** Watchers per data centre if there are other data centres, whose watchers reveal a silent watch. */
    static final int WITH_OTHER_CENTRES = 1;

    /** Watchers of a data centre that is the only one: each reveals a silent watch of the other. */
    static final int ALONE = 2;

    /** How long a node that did not answer or lost the store is not chosen: longer than most restarts. */
    private static final long SUSPICION_PERIOD = Duration.ofSeconds(10).toNanos();

    /** Time without any message after which a node watches itself: two failed questions, one per second. */
    private static final long SILENCE = Duration.ofMillis(2500).toNanos();

    private static final String TASK = "store-watcher";

    private final NodeId self;
    private final Map<NodeId, Long> suspectedAt = new HashMap<>();
    private long lastMessageAt;
    private int turn;
    private ImmutableSet<NodeId> members = ImmutableSet.of();
    private List<NodeId> byWeight = List.of();

    WatcherChoice(NodeId self, long now) {
        this.self = self;
        this.lastMessageAt = now;
    }

    /** Records a message of the node; {@code watching} is true if the node follows the store itself. */
    void onMessage(NodeId node, boolean watching, long now) {
        lastMessageAt = now;
        if (watching) {
            suspectedAt.remove(node);
        }
    }

    /** Suspects the node as a watcher, because it did not answer or the store does not answer it. */
    void suspect(NodeId node, long now) {
        suspectedAt.put(node, now);
    }

    /** Whether this node has to watch the store, as one of the given number of watchers of its data centre. */
    boolean isWatcher(ImmutableSet<NodeId> members, int watchers, long now) {
        boolean chosen = ranked(members, now).stream().limit(watchers).anyMatch(self::equals);
        return chosen || now - lastMessageAt > SILENCE;
    }

    /** The node to ask for changes next: the watchers in turn, so that the loss of each of them is detected. */
    Optional<NodeId> nextToAsk(ImmutableSet<NodeId> members, int watchers, long now) {
        turn++;
        List<NodeId> others =
                ranked(members, now).stream().filter(node -> !node.equals(self)).toList();
        if (!others.isEmpty()) {
            return Optional.of(others.get(turn % Math.min(watchers, others.size())));
        }
        return members.stream().filter(node -> !node.equals(self)).findAny();
    }

    private List<NodeId> ranked(ImmutableSet<NodeId> currentMembers, long now) {
        suspectedAt.values().removeIf(since -> now - since > SUSPICION_PERIOD);
        updateRanking(currentMembers);
        return byWeight.stream().filter(node -> !suspectedAt.containsKey(node)).toList();
    }

    /** Ranks the members by weight; the ranking is computed again only when the set of members changes. */
    private void updateRanking(ImmutableSet<NodeId> currentMembers) {
        if (!currentMembers.equals(members)) {
            members = currentMembers;
            byWeight = NodeRanking.of(currentMembers, TASK);
        }
    }
}
