package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * Use of each service by a call and all calls below it.
 *
 * <p>Immutable. Each service occurs once. A slot is held while the target works and while it waits for its own calls,
 * so busy time measures the use of the service's admission slots, not of its processor. The cost of a failed call is
 * the cost incurred until it failed; only the cost of a successful call shows what its route needs.
 */
public record TreeCost(ImmutableList<ServiceCost> services) {

    /**
     * Maximum number of services in a cost. Trees that use more services are rare, and listing them all would make
     * every answer longer.
     */
    public static final int MAX_SERVICES = 8;

    private static final TreeCost NONE = new TreeCost(ImmutableList.of());

    /**
     * Use of one service.
     *
     * @param calls number of calls that its targets started to run
     * @param busyNanos time for which the calls held slots, in nanoseconds
     */
    public record ServiceCost(ServiceName service, int calls, long busyNanos) {

        private ServiceCost plus(ServiceCost other) {
            return new ServiceCost(service, calls + other.calls, busyNanos + other.busyNanos);
        }
    }

    public static TreeCost none() {
        return NONE;
    }

    /** Creates the cost of one call of the service. */
    public static TreeCost ofCall(ServiceName service, long busyNanos) {
        return new TreeCost(ImmutableList.of(new ServiceCost(service, 1, busyNanos)));
    }

    /** Returns the sum of both costs; services beyond {@link #MAX_SERVICES} are omitted. */
    public TreeCost plus(TreeCost other) {
        if (other.services.isEmpty()) {
            return this;
        }
        if (services.isEmpty()) {
            return other;
        }
        List<ServiceCost> sum = new ArrayList<>(services);
        other.services.forEach(added -> addTo(sum, added));
        return new TreeCost(ImmutableList.copyOf(sum));
    }

    private static void addTo(List<ServiceCost> sum, ServiceCost added) {
        for (int i = 0; i < sum.size(); i++) {
            if (sum.get(i).service().equals(added.service())) {
                sum.set(i, sum.get(i).plus(added));
                return;
            }
        }
        if (sum.size() < MAX_SERVICES) {
            sum.add(added);
        }
    }

    /** Number of calls of the service. */
    public int calls(ServiceName service) {
        return services.stream()
                .filter(cost -> cost.service().equals(service))
                .mapToInt(ServiceCost::calls)
                .sum();
    }

    /** Time for which slots of the service were held, in nanoseconds. */
    public long busyNanos(ServiceName service) {
        return services.stream()
                .filter(cost -> cost.service().equals(service))
                .mapToLong(ServiceCost::busyNanos)
                .sum();
    }
}
