package io.beryldock.routing;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how often the target of each node returned recently, so that the ramp of a flapping target gets longer with
 * each return.
 *
 * <p>Invariant: at most {@link #MAX_NODES} nodes are kept, those that returned last. Not thread safe; guarded by the
 * lock of {@link ServiceTargets}.
 */
final class FlapHistory {

    /** Longer than one target is away during a rolling restart of its service. */
    static final long FLAP_WINDOW_NANOS = Duration.ofMinutes(1).toNanos();

    static final int MAX_DOUBLINGS = 3;

    private static final int MAX_NODES = 1024;

    private final Map<NodeId, Returns> nodes = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, Returns> eldest) {
            return size() > MAX_NODES;
        }
    };

    private record Returns(int count, long at) {}

    /** Records that the target of the node appeared or returned; returns the factor for the length of its ramp. */
    int onReturn(NodeId node, long now) {
        Returns previous = nodes.remove(node);
        boolean expired = previous == null || now - previous.at() > FLAP_WINDOW_NANOS;
        int count = expired ? 0 : Math.min(MAX_DOUBLINGS, previous.count() + 1);
        nodes.put(node, new Returns(count, now));
        return 1 << count;
    }
}
