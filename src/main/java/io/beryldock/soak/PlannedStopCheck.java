package io.beryldock.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A planned stop cuts no request at which a target is at work: neither at the node that took it nor at the target's.
 *
 * <p>Only requests are judged in whose time, and for a while before, nothing unplanned happened.
 */
final class PlannedStopCheck implements PromiseCheck {

    /** After a fault links are made anew and requests that it held up still end. */
    private static final long CALM_NANOS = Duration.ofSeconds(8).toNanos();

    private static final int BAD_GATEWAY = 502;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Open> open = new HashMap<>();
    private final Map<Integer, Long> stops = new HashMap<>();
    private int faults;
    private long lastFault = NEVER;

    /** A request that has no end yet, and the node of the target that runs it. */
    private record Open(SoakEvent.Sent sent, int runner) {

        static final int NOWHERE = -1;
    }

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Sent sent) {
            open.put(sent.request().id(), new Open(sent, Open.NOWHERE));
        } else if (event instanceof SoakEvent.Ran run) {
            open.computeIfPresent(run.id(), (id, known) -> new Open(known.sent(), run.node()));
        } else if (event instanceof SoakEvent.StopAsked stop) {
            stops.put(stop.node(), stop.at());
        } else if (event instanceof SoakEvent.FaultBegan) {
            faults++;
        } else if (event instanceof SoakEvent.FaultEnded ended) {
            faults--;
            lastFault = ended.at();
        } else if (event instanceof SoakEvent.Ended ended) {
            judge(ended, open.remove(ended.id()), broken);
        }
    }

    private void judge(SoakEvent.Ended ended, Open request, Consumer<String> broken) {
        boolean cut = ended.ending() == SoakEvent.Ending.LOST || ended.reply().status() == BAD_GATEWAY;
        if (!cut || request == null || request.runner() == Open.NOWHERE || !isCalm(request)) {
            return;
        }
        for (int node : new int[] {request.sent().node(), request.runner()}) {
            if (isStopping(node, ended.at())) {
                broken.accept("request " + ended.id() + " was at work when the planned stop of node " + node
                        + " cut it off: " + ended.ending() + " " + ended.reply().status());
                return;
            }
        }
    }

    private boolean isCalm(Open request) {
        return faults == 0 && request.sent().at() - lastFault > CALM_NANOS;
    }

    private boolean isStopping(int node, long at) {
        return at - stops.getOrDefault(node, NEVER) < CALM_NANOS;
    }
}
