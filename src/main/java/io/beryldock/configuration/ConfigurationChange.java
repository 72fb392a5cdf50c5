package io.beryldock.configuration;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Optional;

/** One change that an operator asks for; it touches one setting. Immutable. */
public sealed interface ConfigurationChange {

    /** The setting, or the field of it, that the change touches. */
    SettingKey setting();

    /** The change in the operators' language, for the history. */
    String statement();

    /** What it does on top of a configuration; checked, the error names the setting and the remedy. */
    SettingEdit editOf(Configuration base) throws ConfigurationException;

    /** The next version with the change in it. */
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

    /** Adds a route or replaces the one of the same prefix and methods. Immutable. */
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

    /** Removes the route of just that prefix and those methods. Immutable. */
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

    /** Gives a class its rank, 0 (shed last) to 7 (shed first); makes the class when it is new. Immutable. */
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

    /** Sets a retry budget; makes it when it is new. Immutable. */
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

    /** Caps the requests that each target of a service runs at once. Immutable. */
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

    /** Lets the target of a node take no new work. Immutable. */
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

    /** Lets the target of a node take work again. Immutable. */
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
