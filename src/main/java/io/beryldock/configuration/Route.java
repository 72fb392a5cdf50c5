package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Maps the requests below a path prefix to a service and sets how these requests are treated.
 *
 * <p>Immutable. The prefix of a route for any host matches whole segments: {@code /orders} matches {@code /orders/7}
 * but not {@code /ordersheet}. The prefix of a route for one host is compared with the path character by character.
 *
 * @param prefix begins with a slash; for any host it does not end with a slash, except for {@code /} itself
 * @param methods upper-case HTTP methods that the route applies to, empty for any method
 * @param priorityClass name of the priority class that sets the rank of the requests
 * @param idempotent whether a request may be executed more than once
 * @param deadline time allowed for a root request
 * @param budget name of the retry budget
 * @param host the only host that the route applies to, or {@link #ANY_HOST}
 * @param split services among which requests are distributed by weight; empty if all requests go to {@code service}
 * @param open whether requests need no key in a deployment with organisations
 * @param namedObjective latency objective set by operators: the time within which an answer is worth most to its
 *     caller; empty if operators set none
 */
public record Route(
        String prefix,
        ImmutableSet<String> methods,
        ServiceName service,
        String priorityClass,
        boolean idempotent,
        Duration deadline,
        String budget,
        String host,
        ImmutableList<WeightedService> split,
        boolean open,
        Optional<Duration> namedObjective)
        implements Setting {

    /** Host of a route that applies to every host. */
    public static final String ANY_HOST = "";

    public Route {
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(methods, "methods");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(priorityClass, "priorityClass");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(split, "split");
        Objects.requireNonNull(namedObjective, "namedObjective");
    }

    /** Creates a route for any host whose requests all go to one service. */
    public Route(
            String prefix,
            ImmutableSet<String> methods,
            ServiceName service,
            String priorityClass,
            boolean idempotent,
            Duration deadline,
            String budget) {
        this(
                prefix,
                methods,
                service,
                priorityClass,
                idempotent,
                deadline,
                budget,
                ANY_HOST,
                ImmutableList.of(),
                false,
                Optional.empty());
    }

    /** Returns this route for one host, with its requests distributed over the services. */
    public Route forHost(String name, ImmutableList<WeightedService> services) {
        return with(idempotent, deadline, name, services, open, namedObjective);
    }

    /** Returns this route, open or not open to requests without a key. */
    public Route withOpen(boolean mark) {
        return with(idempotent, deadline, host, split, mark, namedObjective);
    }

    /**
     * Returns the latency objective: the time within which an answer is worth most to its caller. This is the deadline
     * if operators set no objective or a longer one.
     */
    public Duration objective() {
        return namedObjective.filter(named -> named.compareTo(deadline) < 0).orElse(deadline);
    }

    /** Returns this route with a latency objective. */
    public Route withObjective(Duration time) {
        return with(idempotent, deadline, host, split, open, Optional.of(time));
    }

    /**
     * Chooses the service for one request.
     *
     * <p>The choice depends on the weights only, not on the free capacity of the services: operators split requests to
     * compare services, and moving requests to another service would invalidate the comparison.
     */
    public ServiceName chooseService(RandomGenerator random) {
        if (split.isEmpty()) {
            return service;
        }
        double remaining = split.stream().mapToDouble(WeightedService::weight).sum() * random.nextDouble();
        for (WeightedService weighted : split) {
            remaining -= weighted.weight();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        return service;
    }

    boolean matches(String method) {
        return methods.isEmpty() || methods.contains(method);
    }

    Route withIdempotent(boolean mark) {
        return with(mark, deadline, host, split, open, namedObjective);
    }

    Route withDeadline(Duration time) {
        return with(idempotent, time, host, split, open, namedObjective);
    }

    private Route with(
            boolean mark,
            Duration time,
            String name,
            ImmutableList<WeightedService> services,
            boolean openToAll,
            Optional<Duration> objective) {
        return new Route(
                prefix, methods, service, priorityClass, mark, time, budget, name, services, openToAll, objective);
    }

    @Override
    public SettingKey key() {
        return SettingKey.route(host + prefix, methods);
    }

    @Override
    public String text() {
        String mark = idempotent ? "idempotent" : "non-idempotent";
        return "service " + service + " class " + priorityClass + " " + mark + " deadline " + deadline.toMillis()
                + "ms budget " + budget;
    }
}
