package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * What a call and all calls beneath it used, service by service.
 *
 * <p>Immutable. Each service is named once. A slot is held while the target works and while it waits for its own calls,
 * so busy time is what the gate of the service has to give, not what its processor does. A failed call has used what it
 * has used; only that of a call that succeeded tells what its route needs.
 */
public record TreeCost(ImmutableList<ServiceCost> services) {

    /** Most services that are told of; what is beneath more of them is rare and would make each answer longer. */
    public static final int MAX_SERVICES = 8;

    private static final TreeCost NONE = new TreeCost(ImmutableList.of());

    /**
     * The use of one service.
     *
     * @param calls calls that its targets began to run
     * @param busyNanos time for which they held slots
     */
    public record ServiceCost(ServiceName service, int calls, long busyNanos) {

        private ServiceCost plus(ServiceCost other) {
            return new ServiceCost(service, calls + other.calls, busyNanos + other.busyNanos);
        }
    }

    public static TreeCost none() {
        return NONE;
    }

    /** One call of the service. */
    public static TreeCost ofCall(ServiceName service, long busyNanos) {
        return new TreeCost(ImmutableList.of(new ServiceCost(service, 1, busyNanos)));
    }

    /** The sum of both. */
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

    /** Calls of the service. */
    public int calls(ServiceName service) {
        return services.stream()
                .filter(cost -> cost.service().equals(service))
                .mapToInt(ServiceCost::calls)
                .sum();
    }

    /** Time for which slots of the service were held. */
    public long busyNanos(ServiceName service) {
        return services.stream()
                .filter(cost -> cost.service().equals(service))
                .mapToLong(ServiceCost::busyNanos)
                .sum();
    }
}
