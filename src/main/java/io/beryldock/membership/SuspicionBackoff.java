package io.beryldock.membership;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits how often this node suspects a node that keeps refuting the suspicion, by exponential back-off.
 *
 * <p>When two parts of a data centre cannot reach each other but both reach a third part, a node does not answer some
 * nodes and refutes their suspicions through the others. Suspecting it again after each failed probe would change every
 * view for as long as the partition lasts. The delay before the next suspicion of a node therefore doubles with each
 * suspicion, until the node answers this node directly. Confined to the control thread.
 */
final class SuspicionBackoff {

    private static final Duration INITIAL_DELAY = Duration.ofSeconds(10);
    private static final Duration MAX_DELAY = Duration.ofMinutes(2);

    /** The earliest time of the next suspicion of a node, and the delay that led to that time. */
    private record Backoff(long notBefore, Duration delay) {}

    private final Map<NodeId, Backoff> backoffs = new LinkedHashMap<>();

    boolean isSuspicionAllowed(NodeId id, long now) {
        Backoff previous = backoffs.get(id);
        return previous == null || now - previous.notBefore() >= 0;
    }

    void onSuspicion(NodeId id, long now) {
        Backoff previous = backoffs.get(id);
        Duration doubled = previous == null ? INITIAL_DELAY : previous.delay().multipliedBy(2);
        Duration delay = doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
        backoffs.put(id, new Backoff(now + delay.toNanos(), delay));
    }

    /** Resets the back-off of a node that answered this node directly. */
    void reset(NodeId id) {
        backoffs.remove(id);
    }

    void removeExpired(long now) {
        backoffs.values().removeIf(backoff -> now - backoff.notBefore() > MAX_DELAY.toNanos());
    }
}
