package io.beryldock.routing;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How often the target of a node came back of late, so that one that goes and comes by turns is taken up more slowly
 * each time.
 *
 * <p>Invariant: at most {@link #MAX_NODES} nodes are remembered, the latest ones. Not thread safe; guarded by the lock
 * of {@link ServiceTargets}.
 */
final class ReturnMemory {

    /** Longer than a planned restart of all targets of a service in turn takes for one of them. */
    static final long FORGIVEN_NANOS = Duration.ofMinutes(1).toNanos();

    static final int MAX_DOUBLINGS = 3;

    private static final int MAX_NODES = 1024;

    private final Map<NodeId, Returns> nodes = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, Returns> eldest) {
            return size() > MAX_NODES;
        }
    };

    private record Returns(int count, long at) {}

    /** The target is there again or for the first time; returns by how much longer its ramp is than the usual one. */
    int onReturn(NodeId node, long now) {
        Returns before = nodes.remove(node);
        boolean forgiven = before == null || now - before.at() > FORGIVEN_NANOS;
        int count = forgiven ? 0 : Math.min(MAX_DOUBLINGS, before.count() + 1);
        nodes.put(node, new Returns(count, now));
        return 1 << count;
    }
}
