package io.beryldock.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Which nodes have passed on an answer in which one start of a target named something, and since when.
 *
 * <p>The node of a request is the one where it began. Not thread safe.
 */
final class ToldNodes {

    private final Map<String, Integer> origins = new HashMap<>();
    private final Map<String, Integer> naming = new HashMap<>();
    private final Map<Integer, Map<Integer, Long>> toldSince = new HashMap<>();

    /** Follows the origin of requests and forgets what a node was told before its start. */
    void on(SoakEvent event) {
        if (event instanceof SoakEvent.Sent sent) {
            origins.put(sent.request().id(), sent.node());
        } else if (event instanceof SoakEvent.Started started) {
            toldSince.values().forEach(nodes -> nodes.remove(started.node()));
        } else if (event instanceof SoakEvent.Ended ended) {
            onEnded(ended);
        }
    }

    /** Records that the target's answer to the request names something. */
    void onNamed(int target, String request) {
        naming.put(request, target);
    }

    /** Forgets all answers of the target, which names nothing any more or has started again. */
    void forget(int target) {
        toldSince.remove(target);
        naming.values().removeIf(named -> named == target);
    }

    private void onEnded(SoakEvent.Ended ended) {
        Integer target = naming.remove(ended.id());
        Integer origin = origins.get(ended.id());
        if (target != null && origin != null && ended.ending() == SoakEvent.Ending.ANSWERED) {
            toldSince.computeIfAbsent(target, unused -> new HashMap<>()).putIfAbsent(origin, ended.at());
        }
    }

    /** When the node where the request began was told by the target; empty if it was not. */
    OptionalLong toldAt(int target, String request) {
        Integer origin = origins.get(request);
        Long since = toldSince.getOrDefault(target, Map.of()).get(origin);
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }
}
