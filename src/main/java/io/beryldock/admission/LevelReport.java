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
 * What the inner calls of one run were told of the services beneath it, to be reported with the run's answer.
 *
 * <p>Kept for the run and no longer: a report names only services that a request of this kind meets, so that a search,
 * which calls nothing, is not shed for an overload beneath the orders of the same service; and services that call each
 * other in a circle can't keep an old report of each other alive. Thread safe.
 */
public final class LevelReport {

    /** Most services that a report names, the run's own included. */
    static final int MAX_REPORTED = 8;

    private static final Comparator<ServiceLevel> WORST_FIRST =
            Comparator.comparingInt(ServiceLevel::level).thenComparing(ServiceLevel::service);

    private final Map<ServiceName, ImmutableList<ServiceLevel>> byCalled = new ConcurrentHashMap<>();

    private LevelReport() {}

    public static LevelReport create() {
        return new LevelReport();
    }

    /** Takes in what came with the answer of a called service; the last answer of each counts. */
    public void add(ServiceName called, ImmutableList<ServiceLevel> levels) {
        if (!levels.isEmpty()) {
            byCalled.put(called, levels);
        }
    }

    /**
     * The service's own level, then the worst of those beneath it.
     *
     * <p>Those that admit all are named too. That a service is missing tells nothing: of some inner calls it can't be
     * told which run makes them.
     */
    public ImmutableList<ServiceLevel> with(ServiceLevel own) {
        if (byCalled.isEmpty()) {
            return ImmutableList.of(own);
        }
        List<ServiceLevel> told = new ArrayList<>();
        byCalled.values().forEach(told::addAll);
        told.sort(WORST_FIRST);
        List<ServiceLevel> reported = new ArrayList<>(MAX_REPORTED);
        reported.add(own);
        for (ServiceLevel level : told) {
            if (reported.size() < MAX_REPORTED && !names(reported, level.service())) {
                reported.add(level);
            }
        }
        return ImmutableList.copyOf(reported);
    }

    private static boolean names(List<ServiceLevel> levels, ServiceName service) {
        for (ServiceLevel level : levels) {
            if (level.service().equals(service)) {
                return true;
            }
        }
        return false;
    }
}
