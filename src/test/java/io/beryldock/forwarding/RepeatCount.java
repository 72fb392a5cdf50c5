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
import java.util.stream.Stream;

/**
 * Counts what the targets of each service receive, as the platform's contract does: arrivals beyond the first of each
 * request, and every arrival of a call that a repeated run makes, against the requests sent for the service. The calls
 * of repeated runs are no requests.
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
        return repeats.get(service).stream()
                .flatMap(time -> Stream.of(time, time - window + 1))
                .flatMap(begin -> excess(service, begin).stream())
                .findFirst();
    }

    private Optional<String> excess(ServiceName service, long begin) {
        int received = between(repeats, service, begin, begin + window);
        int asked = Math.max(
                between(requests, service, begin, begin + window),
                Math.max(
                        between(requests, service, begin - window, begin),
                        between(requests, service, begin - window / 2, begin + window / 2)));
        double allowed = share * asked + slack;
        return received <= allowed
                ? Optional.empty()
                : Optional.of("%s received %d repeats in the window from %d ms for %d requests, %.0f allowed"
                        .formatted(service, received, Duration.ofNanos(begin).toMillis(), asked, allowed));
    }

    private static int between(Map<ServiceName, List<Long>> counted, ServiceName service, long from, long to) {
        List<Long> times = counted.getOrDefault(service, List.of());
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
