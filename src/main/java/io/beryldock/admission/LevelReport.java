package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Levels that the inner calls of one execution received from the services below it, to be reported with the execution's
 * answer.
 *
 * <p>A report lives no longer than its execution. It therefore names only services that a request of this kind calls,
 * so that a search, which calls no other service, is not shed for an overload below the orders of the same service. It
 * also prevents services that call each other in a cycle from keeping an outdated report of each other alive. Thread
 * safe.
 */
public final class LevelReport {

    /** Maximum number of services that a report names, including the executing service itself. */
    static final int MAX_REPORTED = 8;

    private static final Comparator<ServiceLevel> WORST_FIRST =
            Comparator.comparingInt(ServiceLevel::level).thenComparing(ServiceLevel::service);

    private final Map<ServiceName, ImmutableList<ServiceLevel>> levelsByCalled = new ConcurrentHashMap<>();

    private LevelReport() {}

    public static LevelReport create() {
        return new LevelReport();
    }

    /** Records the levels that came with the answer of a called service; the last answer of each service counts. */
    public void add(ServiceName called, ImmutableList<ServiceLevel> levels) {
        if (!levels.isEmpty()) {
            levelsByCalled.put(called, levels);
        }
    }

    /**
     * Returns the service's own level, followed by the lowest levels of the services below it.
     *
     * <p>Services that admit all requests are included, because the absence of a service is not evidence that it admits
     * all: some inner calls cannot be attributed to the execution that makes them.
     */
    public ImmutableList<ServiceLevel> with(ServiceLevel own) {
        if (levelsByCalled.isEmpty()) {
            return ImmutableList.of(own);
        }
        List<ServiceLevel> received = new ArrayList<>();
        levelsByCalled.values().forEach(received::addAll);
        received.sort(WORST_FIRST);
        List<ServiceLevel> reported = new ArrayList<>(MAX_REPORTED);
        reported.add(own);
        for (ServiceLevel level : received) {
            if (reported.size() < MAX_REPORTED && !containsService(reported, level.service())) {
                reported.add(level);
            }
        }
        return ImmutableList.copyOf(reported);
    }

    private static boolean containsService(List<ServiceLevel> levels, ServiceName service) {
        for (ServiceLevel level : levels) {
            if (level.service().equals(service)) {
                return true;
            }
        }
        return false;
    }
}
