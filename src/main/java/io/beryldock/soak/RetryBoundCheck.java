package io.beryldock.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Over all nodes, what a service gets beyond the first arrival of each request stays within a share of the requests for
 * it and a slack, in any window.
 *
 * <p>Arrivals that a target refuses count. A run that follows an earlier arrival of its request is repeated, and all
 * arrivals of the calls that it makes count as repeats, while those calls are no requests. Requests are those sent in
 * the window, the one before it or the one half a window before it, whichever has most: a repeat may follow its request
 * late.
 */
final class RetryBoundCheck implements PromiseCheck {

    private final double share;
    private final long window;
    private final int slack;
    private final Set<String> arrived = new HashSet<>();
    private final Set<String> callsOfRepeatedRuns = new HashSet<>();
    private final Set<RunPlace> repeatedRuns = new HashSet<>();
    private final Map<String, Deque<Long>> sent = new HashMap<>();
    private final Map<String, Deque<Long>> repeats = new HashMap<>();

    RetryBoundCheck(double share, Duration window, int slack) {
        this.share = share;
        this.window = window.toNanos();
        this.slack = slack;
    }

    /** A request and the node beside which it runs. Immutable. */
    private record RunPlace(String id, int node) {}

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Sent each) {
            onSent(each);
        } else if (event instanceof SoakEvent.Arrived arrival) {
            onArrived(arrival, broken);
        }
    }

    private void onSent(SoakEvent.Sent each) {
        boolean madeByRepeatedRun = each.request()
                .parent()
                .map(parent -> new RunPlace(parent, each.node()))
                .filter(repeatedRuns::contains)
                .isPresent();
        if (madeByRepeatedRun) {
            callsOfRepeatedRuns.add(each.request().id());
        } else {
            add(sent, each.request().use().service(), each.at());
        }
    }

    private void onArrived(SoakEvent.Arrived arrival, Consumer<String> broken) {
        boolean later = !arrived.add(arrival.id());
        if (later || callsOfRepeatedRuns.contains(arrival.id())) {
            repeatedRuns.add(new RunPlace(arrival.id(), arrival.node()));
            add(repeats, arrival.service(), arrival.at());
            judge(arrival, broken);
        }
    }

    private void judge(SoakEvent.Arrived run, Consumer<String> broken) {
        long again = count(repeats, run.service(), run.at());
        long asked = Math.max(
                count(sent, run.service(), run.at()),
                Math.max(
                        count(sent, run.service(), run.at() - window),
                        count(sent, run.service(), run.at() - window / 2)));
        if (again > share * asked + slack) {
            broken.accept("service " + run.service() + " got " + again + " repeats for " + asked
                    + " requests in one window, the last of request " + run.id());
        }
    }

    private void add(Map<String, Deque<Long>> times, String service, long at) {
        Deque<Long> own = times.computeIfAbsent(service, name -> new ArrayDeque<>());
        own.addLast(at);
        while (own.peekFirst() < at - 2 * window) {
            own.removeFirst();
        }
    }

    private long count(Map<String, Deque<Long>> times, String service, long end) {
        return times.getOrDefault(service, new ArrayDeque<>()).stream()
                .filter(at -> at > end - window && at <= end)
                .count();
    }
}
