package io.beryldock.peer;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The nodes that recently did not answer and that callers skip for a fixed time.
 *
 * <p>Without it, each request to an unreachable node would wait for the full time-out.
 *
 * <p>Thread safe.
 */
public final class SilentNodes {

    private final Ticker ticker;
    private final long skipNanos;
    private final Map<NodeId, Long> silentSince = new ConcurrentHashMap<>();

    private SilentNodes(Ticker ticker, Duration skipDuration) {
        this.ticker = ticker;
        this.skipNanos = skipDuration.toNanos();
    }

    /** Creates an empty set; each added node is contained for {@code skipDuration}. */
    public static SilentNodes create(Ticker ticker, Duration skipDuration) {
        return new SilentNodes(ticker, skipDuration);
    }

    /** Adds a node that did not answer in time, and removes nodes whose time has passed. */
    public void add(NodeId node) {
        long now = ticker.nanos();
        silentSince.values().removeIf(since -> now - since > skipNanos);
        silentSince.put(node, now);
    }

    public boolean contains(NodeId node) {
        Long since = silentSince.get(node);
        return since != null && ticker.nanos() - since <= skipNanos;
    }
}
