package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Which service answers the paths below a prefix, and how its requests are treated.
 *
 * <p>Immutable. The prefix of a route for any host matches whole segments: {@code /orders} matches {@code /orders/7},
 * not {@code /ordersheet}. That of a route for one host is compared with the path letter by letter.
 *
 * @param prefix begins with a slash; for any host it ends with none, but for {@code /} itself
 * @param methods upper-case HTTP methods that the route is for, empty for any
 * @param priorityClass name of the class whose rank its requests have
 * @param idempotent whether a request may run more than once
 * @param deadline time allowed for a root request
 * @param budget name of the retry budget
 * @param host the one host that the route is for, {@link #ANY_HOST} for any
 * @param split services among which requests are spread by weight; empty when all go to {@code service}
 * @param open whether requests need no key where there are organisations
 * @param namedObjective time within which an answer is worth most to its caller, where operators name one
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

    /** Stands for a route that does not look at the host. */
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

    /** A route for any host whose requests all go to one service. */
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

    /** The same route for one host, with its requests spread over these services. */
    public Route forHost(String name, ImmutableList<WeightedService> services) {
        return with(idempotent, deadline, name, services, open, namedObjective);
    }

    /** The same route, for requests without a key too or not. */
    public Route withOpen(boolean mark) {
        return with(idempotent, deadline, host, split, mark, namedObjective);
    }

    /**
     * Time within which an answer is worth most to its caller; the deadline where operators name none or a longer one.
     */
    public Duration objective() {
        return namedObjective.filter(named -> named.compareTo(deadline) < 0).orElse(deadline);
    }

    /** The same route with a time within which an answer is worth most to its caller. */
    public Route withObjective(Duration time) {
        return with(idempotent, deadline, host, split, open, Optional.of(time));
    }

    /**
     * The service of one request.
     *
     * <p>Drawn by weight alone, whatever room a service has: operators split requests to compare services, and what is
     * moved to another part would make the comparison worthless.
     */
    public ServiceName chooseService(RandomGenerator random) {
        if (split.isEmpty()) {
            return service;
        }
        double left = split.stream().mapToDouble(WeightedService::weight).sum() * random.nextDouble();
        for (WeightedService part : split) {
            left -= part.weight();
            if (left < 0) {
                return part.service();
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
