package io.beryldock.peer;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Nodes that did not answer of late and are passed over for some time. Thread safe.
 *
 * <p>Guards against requests that wait for a node that is cut off: each would wait for the whole limit of a question.
 */
public final class SilentNodes {

    private final Ticker ticker;
    private final long passedOverNanos;
    private final Map<NodeId, Long> silentSince = new ConcurrentHashMap<>();

    private SilentNodes(Ticker ticker, Duration passedOver) {
        this.ticker = ticker;
        this.passedOverNanos = passedOver.toNanos();
    }

    /** Each node that is added is passed over for so long. */
    public static SilentNodes create(Ticker ticker, Duration passedOver) {
        return new SilentNodes(ticker, passedOver);
    }

    /** The node did not answer in time. */
    public void add(NodeId node) {
        long now = ticker.nanos();
        silentSince.values().removeIf(since -> now - since > passedOverNanos);
        silentSince.put(node, now);
    }

    public boolean contains(NodeId node) {
        Long since = silentSince.get(node);
        return since != null && ticker.nanos() - since <= passedOverNanos;
    }
}
