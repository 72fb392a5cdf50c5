package io.beryldock.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * A target that names the rate that it accepts gets at most one and a half times as many requests, and a few, in any
 * window, summed over the nodes that have passed on such an answer.
 *
 * <p>The bound holds from some time after the target first named its rate, for as long as it does so.
 */
final class NamedRateCheck implements PromiseCheck {

    private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long SETTLING_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long NOTICE_NANOS = Duration.ofMillis(500).toNanos();
    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ToldNodes told = new ToldNodes();
    private final Map<Integer, NamedRate> named = new HashMap<>();
    private final Map<Integer, Deque<SoakEvent.Ran>> arrivals = new HashMap<>();

    /** A rate that a target names, and since when. */
    private record NamedRate(double perSecond, long since) {

        double allowed() {
            return TOLERANCE * perSecond * WINDOW_NANOS / NANOS_PER_SECOND + SLACK;
        }
    }

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        told.on(event);
        if (event instanceof SoakEvent.Named answer) {
            onNamed(answer);
        } else if (event instanceof SoakEvent.TargetStarted started) {
            forget(started.node());
        } else if (event instanceof SoakEvent.Ran run) {
            onRan(run, broken);
        }
    }

    private void onNamed(SoakEvent.Named answer) {
        if (answer.ratePerSecond() == 0) {
            forget(answer.node());
            return;
        }
        NamedRate known = named.get(answer.node());
        if (known == null || known.perSecond() != answer.ratePerSecond()) {
            named.put(answer.node(), new NamedRate(answer.ratePerSecond(), answer.at()));
        }
        told.onNamed(answer.node(), answer.id());
    }

    private void forget(int target) {
        named.remove(target);
        told.forget(target);
    }

    private void onRan(SoakEvent.Ran run, Consumer<String> broken) {
        Deque<SoakEvent.Ran> recent = arrivals.computeIfAbsent(run.node(), unused -> new ArrayDeque<>());
        recent.addLast(run);
        while (run.at() - recent.peekFirst().at() > WINDOW_NANOS) {
            recent.removeFirst();
        }
        NamedRate rate = named.get(run.node());
        if (rate == null || run.at() - rate.since() < SETTLING_NANOS) {
            return;
        }
        long counted =
                recent.stream().filter(each -> isFromToldNode(each, run.at())).count();
        if (counted > rate.allowed()) {
            broken.accept("the target of node " + run.node() + " named " + rate.perSecond()
                    + " requests a second and got " + counted + " in one window, the last of them request " + run.id());
        }
    }

    private boolean isFromToldNode(SoakEvent.Ran run, long now) {
        OptionalLong since = told.toldAt(run.node(), run.id());
        return since.isPresent() && now - since.getAsLong() >= NOTICE_NANOS;
    }
}
