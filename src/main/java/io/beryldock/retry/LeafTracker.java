package io.beryldock.retry;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Learns from answers which services are leaves of call trees: they make no inner calls.
 *
 * <p>An answer carries the admission levels of its service and of the services called beneath it. A service is a leaf
 * if none of its last {@value #ANSWERS_NEEDED} answers carried the level of another service; an unknown service is not
 * a leaf. Thread safe; keeps one small entry for each service called.
 */
public final class LeafTracker {

    static final int ANSWERS_NEEDED = 20;

    private final ConcurrentMap<ServiceName, Integer> consecutiveOwnAnswers = new ConcurrentHashMap<>();

    private LeafTracker() {}

    public static LeafTracker create() {
        return new LeafTracker();
    }

    /** Records the admission levels that an answer of the service carried. */
    public void onAnswer(ServiceName service, List<ServiceLevel> levels) {
        boolean namesOnlyItself =
                levels.stream().allMatch(level -> level.service().equals(service));
        if (!namesOnlyItself) {
            consecutiveOwnAnswers.put(service, 0);
        } else if (!isLeaf(service)) {
            consecutiveOwnAnswers.merge(service, 1, Integer::sum);
        }
    }

    public boolean isLeaf(ServiceName service) {
        return consecutiveOwnAnswers.getOrDefault(service, 0) >= ANSWERS_NEEDED;
    }
}
