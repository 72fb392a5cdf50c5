package io.beryldock.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A planned stop cuts no request at which a target is at work, neither at the node that took it nor at the target's,
 * and it ends.
 *
 * <p>Only requests are judged in whose time, and for a while before, nothing unplanned happened. A host that holds
 * a node up is no plan either: links are given up after some hundred milliseconds of silence.
 */
final class PlannedStopCheck implements PromiseCheck {

    /** After a fault links are made anew and requests that it held up still end. */
    private static final long CALM_NANOS = Duration.ofSeconds(8).toNanos();

    /** The time that a node has for it, twice and more: a fault may hold the stopping process up. */
    static final Duration LONGEST_STOP = Duration.ofSeconds(30);

    private static final int BAD_GATEWAY = 502;
    /** A host that holds nodes up ends requests under way, and links are made anew at once. */
    private static final long HELD_UP_NANOS = Duration.ofSeconds(1).toNanos();

    /** After an end it may still become known that the host had held a node up. */
    private static final long HINDSIGHT_NANOS = Duration.ofSeconds(2).toNanos();

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Open> open = new HashMap<>();
    private final Deque<Cut> cuts = new ArrayDeque<>();
    private final Map<Integer, Long> stops = new HashMap<>();
    private final Map<Integer, Long> unended = new HashMap<>();
    private int faults;
    private long lastFault = NEVER;
    private long lastHeldUp = NEVER;

    /** A request that has no end yet, and the node of the target that runs it. */
    private record Open(SoakEvent.Sent sent, int runner) {

        static final int NOWHERE = -1;
    }

    /** A request that was cut off beside a planned stop of the node. */
    private record Cut(SoakEvent.Sent sent, SoakEvent.Ended ended, int node) {}

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        judgeStops(event.at(), broken);
        judgeCuts(event, broken);
        if (event instanceof SoakEvent.Sent sent) {
            open.put(sent.request().id(), new Open(sent, Open.NOWHERE));
        } else if (event instanceof SoakEvent.Ran run) {
            open.computeIfPresent(run.id(), (id, known) -> new Open(known.sent(), run.node()));
        } else if (event instanceof SoakEvent.StopAsked stop) {
            stops.put(stop.node(), stop.at());
            unended.put(stop.node(), stop.at());
        } else if (event instanceof SoakEvent.StopEnded stopped) {
            unended.remove(stopped.node());
        } else if (event instanceof SoakEvent.HeldUp heldUp) {
            lastHeldUp = heldUp.at();
        } else if (event instanceof SoakEvent.FaultBegan) {
            faults++;
        } else if (event instanceof SoakEvent.FaultEnded ended) {
            faults--;
            lastFault = ended.at();
        } else if (event instanceof SoakEvent.Ended ended) {
            note(ended, open.remove(ended.id()));
        }
    }

    private void judgeStops(long at, Consumer<String> broken) {
        unended.entrySet().removeIf(stop -> {
            boolean late = at - stop.getValue() > LONGEST_STOP.toNanos();
            if (late) {
                broken.accept("node " + stop.getKey() + " was asked to stop and still runs after "
                        + LONGEST_STOP.toSeconds() + " s");
            }
            return late;
        });
    }

    private void judgeCuts(SoakEvent event, Consumer<String> broken) {
        boolean last = event instanceof SoakEvent.RunEnded;
        while (!cuts.isEmpty() && (last || event.at() - cuts.peekFirst().ended().at() > HINDSIGHT_NANOS)) {
            Cut cut = cuts.removeFirst();
            if (isCalm(cut.sent())) {
                broken.accept("request " + cut.ended().id() + " was at work when the planned stop of node "
                        + cut.node() + " cut it off: " + cut.ended().ending() + " "
                        + cut.ended().reply().status());
            }
        }
    }

    private void note(SoakEvent.Ended ended, Open request) {
        boolean cut = ended.ending() == SoakEvent.Ending.LOST || ended.reply().status() == BAD_GATEWAY;
        if (!cut || request == null || request.runner() == Open.NOWHERE) {
            return;
        }
        for (int node : new int[] {request.sent().node(), request.runner()}) {
            if (isStopping(node, ended.at())) {
                cuts.addLast(new Cut(request.sent(), ended, node));
                return;
            }
        }
    }

    private boolean isCalm(SoakEvent.Sent sent) {
        boolean heldUp = sent.at() - lastHeldUp <= HELD_UP_NANOS;
        return faults == 0 && !heldUp && sent.at() - lastFault > CALM_NANOS;
    }

    private boolean isStopping(int node, long at) {
        return at - stops.getOrDefault(node, NEVER) < CALM_NANOS;
    }
}
