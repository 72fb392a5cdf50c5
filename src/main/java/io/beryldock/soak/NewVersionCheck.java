package io.beryldock.soak;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A version of the operators' document that the store has confirmed is in force after the bound at every node in touch.
 *
 * <p>Each node is judged for itself, whatever happens to the others: it is in touch while its own process, its links to
 * other nodes and its way to the store have been calm for a time.
 */
final class NewVersionCheck implements PromiseCheck {

    /** Time from the confirmation until the nodes in touch go by a version. */
    static final Duration BOUND = Duration.ofSeconds(2);

    /** Calm of a node before it is judged. */
    static final Duration SETTLE = Duration.ofSeconds(3);

    private static final int NO_ROUTE = 404;

    private final Map<Long, Long> confirmed = new HashMap<>();
    private final Map<Integer, Long> disturbed = new HashMap<>();
    private final Multiset<Integer> faults = HashMultiset.create();
    private final Map<String, SoakEvent.Sent> probes = new HashMap<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.DocumentWritten written) {
            confirmed.put(written.version(), written.at());
        } else if (event instanceof SoakEvent.Started begun) {
            disturb(begun.node(), begun.at());
        } else if (event instanceof SoakEvent.StopAsked asked) {
            disturb(asked.node(), asked.at());
        } else if (event instanceof SoakEvent.FaultBegan began) {
            faults.addAll(began.nodes());
            disturb(began.nodes(), began.at());
        } else if (event instanceof SoakEvent.FaultEnded ended) {
            ended.nodes().forEach(faults::remove);
            disturb(ended.nodes(), ended.at());
        } else if (event instanceof SoakEvent.HeldUp heldUp) {
            disturb(heldUp.nodes(), heldUp.at());
        } else if (event instanceof SoakEvent.Sent sent && isDue(sent)) {
            probes.put(sent.request().id(), sent);
        } else if (event instanceof SoakEvent.Ended ended && probes.containsKey(ended.id())) {
            judge(probes.remove(ended.id()), ended, broken);
        }
    }

    private void disturb(Collection<Integer> nodes, long at) {
        nodes.forEach(node -> disturb(node, at));
    }

    /** What was sent to the node before is not judged any more. */
    private void disturb(int node, long at) {
        disturbed.put(node, at);
        probes.values().removeIf(sent -> sent.node() == node);
    }

    private boolean isDue(SoakEvent.Sent sent) {
        Long since = confirmed.get(sent.request().version());
        boolean inTouch =
                !faults.contains(sent.node()) && isPast(disturbed.getOrDefault(sent.node(), 0L), SETTLE, sent.at());
        boolean due = since != null && isPast(since, BOUND, sent.at());
        return sent.request().use() == Use.PROBE && inTouch && due;
    }

    private static boolean isPast(long from, Duration length, long at) {
        return at - from > length.toNanos();
    }

    private void judge(SoakEvent.Sent sent, SoakEvent.Ended ended, Consumer<String> broken) {
        if (ended.reply().status() == NO_ROUTE) {
            long version = sent.request().version();
            broken.accept("node " + sent.node() + " had no route of version " + version + " of the document, which was"
                    + " confirmed " + PromiseCheck.seconds(sent.at() - confirmed.get(version)) + " before");
        }
    }
}
