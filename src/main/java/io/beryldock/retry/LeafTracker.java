package io.beryldock.retry;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Learns from answers which services make no inner calls.
 *
 * <p>An answer names the admission levels of its service and of those beneath it; a service of whose last
 * {@value #ANSWERS_NEEDED} answers none named another one is a leaf. An unknown service is not. Thread safe; one small
 * entry for each service called.
 */
public final class LeafTracker {

    static final int ANSWERS_NEEDED = 20;

    private final ConcurrentMap<ServiceName, Integer> answersAlone = new ConcurrentHashMap<>();

    private LeafTracker() {}

    public static LeafTracker create() {
        return new LeafTracker();
    }

    /** Notes the levels that an answer of the service carried. */
    public void onAnswer(ServiceName service, List<ServiceLevel> levels) {
        boolean alone = levels.stream().allMatch(level -> level.service().equals(service));
        if (!alone) {
            answersAlone.put(service, 0);
        } else if (!isLeaf(service)) {
            answersAlone.merge(service, 1, Integer::sum);
        }
    }

    public boolean isLeaf(ServiceName service) {
        return answersAlone.getOrDefault(service, 0) >= ANSWERS_NEEDED;
    }
}
