package io.beryldock.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * In one life of its process a node never goes back to an older version of the operators' document.
 *
 * <p>Each version adds a route that all later ones keep: a node that has served the route of a version and then knows
 * it, or an older one, no more has gone back.
 */
final class VersionCheck implements PromiseCheck {

    private static final int NO_ROUTE = 404;
    private static final int NOT_RUN = 503;

    private final Map<Integer, Integer> lives = new HashMap<>();
    private final Map<Integer, Long> newest = new HashMap<>();
    private final Map<String, Probe> probes = new HashMap<>();

    /** A probe under way: what its node was known to know when it was sent. */
    private record Probe(SoakEvent.Sent sent, int life, long known) {}

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Started started) {
            lives.merge(started.node(), 1, Integer::sum);
            newest.remove(started.node());
        } else if (event instanceof SoakEvent.Sent sent && sent.request().use() == Use.PROBE) {
            long known = newest.getOrDefault(sent.node(), 0L);
            probes.put(sent.request().id(), new Probe(sent, life(sent.node()), known));
        } else if (event instanceof SoakEvent.Ended ended && probes.containsKey(ended.id())) {
            onAnswer(probes.remove(ended.id()), ended.reply().status(), broken);
        }
    }

    private void onAnswer(Probe probe, int status, Consumer<String> broken) {
        int node = probe.sent().node();
        long version = probe.sent().request().version();
        // A node that knows no document yet, or stops, answers as not run, which tells nothing of versions.
        if (status == 0 || status == NOT_RUN || probe.life() != life(node)) {
            return;
        }
        if (status != NO_ROUTE) {
            newest.merge(node, version, Math::max);
        } else if (version <= probe.known()) {
            broken.accept("node " + node + " knew version " + probe.known() + " of the document and then had no route"
                    + " of version " + version);
        }
    }

    private int life(int node) {
        return lives.getOrDefault(node, 0);
    }
}
