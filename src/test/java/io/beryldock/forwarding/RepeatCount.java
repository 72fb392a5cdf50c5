package io.beryldock.forwarding;

import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Counts what the targets of each service receive, as the platform's contract does: arrivals beyond the first of each
 * request, and every arrival of a call that a repeated run makes, against the requests sent for the service.
 *
 * <p>Times are in nanoseconds and must not decrease. Not thread safe.
 */
final class RepeatCount {

    private final double share;
    private final int slack;
    private final long window;
    private final Set<String> arrived = new HashSet<>();
    private final Map<ServiceName, List<Long>> requests = new HashMap<>();
    private final Map<ServiceName, List<Long>> repeats = new HashMap<>();

    RepeatCount(double share, int slack, Duration window) {
        this.share = share;
        this.slack = slack;
        this.window = window.toNanos();
    }

    void sent(ServiceName service, long at) {
        requests.computeIfAbsent(service, name -> new ArrayList<>()).add(at);
    }

    /** Records an arrival; returns whether it is a repeat. */
    boolean arrived(ServiceName service, String id, boolean madeByRepeatedRun, long at) {
        boolean repeat = !arrived.add(id) || madeByRepeatedRun;
        if (repeat) {
            repeats.computeIfAbsent(service, name -> new ArrayList<>()).add(at);
        }
        return repeat;
    }

    /** Returns the repeats that all services received. */
    long repeats() {
        return repeats.values().stream().mapToLong(List::size).sum();
    }

    /** Returns the first window in which a service received more repeats than the contract allows. */
    Optional<String> firstExcess() {
        return repeats.keySet().stream()
                .flatMap(service -> firstExcess(service).stream())
                .findFirst();
    }

    private Optional<String> firstExcess(ServiceName service) {
        List<Long> times = repeats.get(service);
        int end = 0;
        for (int begin = 0; begin < times.size(); begin++) {
            long from = times.get(begin);
            while (end < times.size() && times.get(end) < from + window) {
                end++;
            }
            long asked = Math.max(
                    requestsBetween(service, from, from + window),
                    Math.max(
                            requestsBetween(service, from - window, from),
                            requestsBetween(service, from - window / 2, from + window / 2)));
            double allowed = share * asked + slack;
            if (end - begin > allowed) {
                return Optional.of("%s received %d repeats in the window from %d ms for %d requests, %.0f allowed"
                        .formatted(service, end - begin, Duration.ofNanos(from).toMillis(), asked, allowed));
            }
        }
        return Optional.empty();
    }

    private int requestsBetween(ServiceName service, long from, long to) {
        List<Long> times = requests.getOrDefault(service, List.of());
        return indexOf(times, to) - indexOf(times, from);
    }

    /** Returns the number of times before the given one. */
    private static int indexOf(List<Long> times, long limit) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (times.get(middle) < limit) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
