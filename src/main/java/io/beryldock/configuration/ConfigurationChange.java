package io.beryldock.configuration;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Optional;

/** One configuration change requested by an operator; it touches exactly one setting. Immutable. */
public sealed interface ConfigurationChange {

    /** Returns the key of the setting, or of the field of a setting, that the change touches. */
    SettingKey setting();

    /** Returns the change in the operators' command language, for the history. */
    String statement();

    /**
     * Returns the effect of the change on a configuration, after checking it; the exception names the setting and the
     * remedy.
     */
    SettingEdit editOf(Configuration base) throws ConfigurationException;

    /** Returns the next version of the configuration, with the change applied. */
    default Configuration apply(Configuration base) throws ConfigurationException {
        return base.with(editOf(base));
    }

    private static SettingEdit checked(Setting setting, Configuration base) throws ConfigurationException {
        SettingCheck.check(setting, base);
        return SettingEdit.put(setting);
    }

    private static Route route(SettingKey key, Configuration base) throws ConfigurationException {
        Optional<Setting> found = base.setting(key);
        if (found.isPresent() && found.get() instanceof Route route) {
            return route;
        }
        throw ConfigurationException.of(key.whole().toString(), "there is no such route", "see show configuration");
    }

    private static SettingEdit removal(SettingKey key, Configuration base) throws ConfigurationException {
        if (base.setting(key).isEmpty()) {
            throw ConfigurationException.of(key.toString(), "is not set", "see show configuration");
        }
        return SettingEdit.remove(key);
    }

    /** Adds a route, or replaces the route with the same prefix and methods. Immutable. */
    record SetRoute(Route route) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return route.key();
        }

        @Override
        public String statement() {
            return "set " + route.key() + " " + route.text();
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return checked(route, base);
        }
    }

    /** Removes the route with exactly this prefix and these methods. Immutable. */
    record RemoveRoute(String prefix, ImmutableSet<String> methods) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.route(prefix, methods);
        }

        @Override
        public String statement() {
            return "remove " + setting();
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return removal(setting(), base);
        }
    }

    /**
     * Sets the rank of a priority class, 0 (shed last) to 7 (shed first); creates the class if it does not exist.
     * Immutable.
     */
    record SetClass(String name, int priority) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.priorityClass(name);
        }

        @Override
        public String statement() {
            return "set class " + name + " priority " + priority;
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            try {
                return checked(new ClassSetting(PriorityClass.of(name, priority)), base);
            } catch (IllegalArgumentException e) {
                throw ConfigurationException.of(setting().toString(), e.getMessage(), "correct the value");
            }
        }
    }

    /** Sets a retry budget; creates the budget if it does not exist. Immutable. */
    record SetBudget(String name, int retries, double share) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.budget(name);
        }

        @Override
        public String statement() {
            return "set budget " + name + " retries " + retries + " share " + share;
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return checked(new RetrySetting(name, retries, share), base);
        }
    }

    /** Limits the requests that each target of a service runs concurrently. Immutable. */
    record SetLimit(ServiceName service, int slots) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.service(service);
        }

        @Override
        public String statement() {
            return "set limit " + service + " slots " + slots;
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return checked(new ServiceSetting(service, slots), base);
        }
    }

    /** Marks a route idempotent or non-idempotent. Immutable. */
    record MarkRoute(String prefix, ImmutableSet<String> methods, boolean idempotent) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.route(prefix, methods).field("mark");
        }

        @Override
        public String statement() {
            return "mark " + setting().whole() + (idempotent ? " idempotent" : " non-idempotent");
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return checked(route(setting(), base).withIdempotent(idempotent), base);
        }
    }

    /** Sets the time allowed for the root requests of a route. Immutable. */
    record SetDeadline(String prefix, ImmutableSet<String> methods, Duration deadline) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.route(prefix, methods).field("deadline");
        }

        @Override
        public String statement() {
            return "set " + setting().whole() + " deadline " + deadline.toMillis() + "ms";
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return checked(route(setting(), base).withDeadline(deadline), base);
        }
    }

    /** Drains the target of a node, so that it gets no new requests. Immutable. */
    record Drain(NodeId node) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.drain(node);
        }

        @Override
        public String statement() {
            return "drain target " + node;
        }

        @Override
        public SettingEdit editOf(Configuration base) {
            return SettingEdit.put(new DrainSetting(node));
        }
    }

    /** Ends the drain of a node's target, so that it gets requests again. Immutable. */
    record Undrain(NodeId node) implements ConfigurationChange {

        @Override
        public SettingKey setting() {
            return SettingKey.drain(node);
        }

        @Override
        public String statement() {
            return "undrain target " + node;
        }

        @Override
        public SettingEdit editOf(Configuration base) throws ConfigurationException {
            return removal(setting(), base);
        }
    }
}
