package io.beryldock.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A version of the operators' document that the store has confirmed is known at every node after the bound.
 *
 * <p>Judged in calm only: a node that has just started, or any fault shortly before, may delay what a node hears.
 */
final class NewVersionCheck implements PromiseCheck {

    /** Time from the confirmation until all nodes go by a version, in calm. */
    static final Duration BOUND = Duration.ofSeconds(2);

    /** Calm before nodes are judged. */
    static final Duration SETTLE = Duration.ofSeconds(3);

    private static final int NO_ROUTE = 404;

    private final Map<Long, Long> confirmed = new HashMap<>();
    private final Map<Integer, Long> started = new HashMap<>();
    private final Map<String, SoakEvent.Sent> probes = new HashMap<>();
    private int faults;
    private long disturbedAt;

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.DocumentWritten written) {
            confirmed.put(written.version(), written.at());
        } else if (event instanceof SoakEvent.Started begun) {
            started.put(begun.node(), begun.at());
        } else if (event instanceof SoakEvent.FaultBegan) {
            faults++;
            disturb(event.at());
        } else if (event instanceof SoakEvent.FaultEnded) {
            faults--;
            disturb(event.at());
        } else if (event instanceof SoakEvent.HeldUp) {
            disturb(event.at());
        } else if (event instanceof SoakEvent.Sent sent && isDue(sent)) {
            probes.put(sent.request().id(), sent);
        } else if (event instanceof SoakEvent.Ended ended && probes.containsKey(ended.id())) {
            judge(probes.remove(ended.id()), ended, broken);
        }
    }

    /** What was sent before is not judged any more. */
    private void disturb(long at) {
        disturbedAt = at;
        probes.clear();
    }

    private boolean isDue(SoakEvent.Sent sent) {
        Long since = confirmed.get(sent.request().version());
        boolean calm = faults == 0 && isPast(disturbedAt, SETTLE, sent.at());
        boolean settled = isPast(started.getOrDefault(sent.node(), 0L), SETTLE, sent.at());
        boolean due = since != null && isPast(since, BOUND, sent.at());
        return sent.request().use() == Use.PROBE && calm && settled && due;
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
