package io.beryldock.membership;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Spaces the suspicions that this node utters about another one which denies them.
 *
 * <p>When two parts of a data centre cannot reach each other, but both reach a third, a node is silent to some and
 * denies by way of others. Accused again with each probe it would make all views change for as long as that lasts. So
 * after each accusation this node waits twice as long for the next, until the other answers it directly. Control
 * thread only.
 */
final class Accusations {

    private static final Duration FIRST = Duration.ofSeconds(10);
    private static final Duration MAX = Duration.ofMinutes(2);

    /** When a node may be accused again, and how long that is after the last time. */
    private record Accusation(long notBefore, Duration spacing) {}

    private final Map<NodeId, Accusation> last = new LinkedHashMap<>();

    boolean isAllowed(NodeId id, long now) {
        Accusation before = last.get(id);
        return before == null || now - before.notBefore() >= 0;
    }

    void note(NodeId id, long now) {
        Accusation before = last.get(id);
        Duration doubled = before == null ? FIRST : before.spacing().multipliedBy(2);
        Duration spacing = doubled.compareTo(MAX) < 0 ? doubled : MAX;
        last.put(id, new Accusation(now + spacing.toNanos(), spacing));
    }

    /** Notes that the node answered this one directly. */
    void clear(NodeId id) {
        last.remove(id);
    }

    void forgetOld(long now) {
        last.values().removeIf(accusation -> now - accusation.notBefore() > MAX.toNanos());
    }
}
