package io.beryldock.configuration;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Objects;

/**
 * Which service answers the paths below a prefix, and how its requests are treated.
 *
 * <p>Immutable. The prefix matches whole segments: {@code /orders} matches {@code /orders/7}, not {@code /ordersheet}.
 *
 * @param prefix begins with a slash and ends with none, but for {@code /} itself
 * @param methods upper-case HTTP methods that the route is for, empty for any
 * @param priorityClass name of the class whose rank its requests have
 * @param idempotent whether a request may run more than once
 * @param deadline time allowed for a root request
 * @param budget name of the retry budget
 */
public record Route(
        String prefix,
        ImmutableSet<String> methods,
        ServiceName service,
        String priorityClass,
        boolean idempotent,
        Duration deadline,
        String budget)
        implements Setting {

    public Route {
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(methods, "methods");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(priorityClass, "priorityClass");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(budget, "budget");
    }

    boolean matches(String method) {
        return methods.isEmpty() || methods.contains(method);
    }

    Route withIdempotent(boolean mark) {
        return new Route(prefix, methods, service, priorityClass, mark, deadline, budget);
    }

    Route withDeadline(Duration time) {
        return new Route(prefix, methods, service, priorityClass, idempotent, time, budget);
    }

    @Override
    public SettingKey key() {
        return SettingKey.route(prefix, methods);
    }

    @Override
    public String text() {
        String mark = idempotent ? "idempotent" : "non-idempotent";
        return "service " + service + " class " + priorityClass + " " + mark + " deadline " + deadline.toMillis()
                + "ms budget " + budget;
    }
}
