package io.beryldock.configuration;

import java.time.Duration;
import java.util.regex.Pattern;

/**
 * Checks a setting before it is written; the exceptions name the setting, the problem and the remedy.
 *
 * <p>Stateless, thread safe. Only writers check settings. A node applies every accepted setting unchecked; otherwise
 * nodes of two releases could end up with different documents.
 */
final class SettingCheck {

    private static final Pattern PREFIX = Pattern.compile("/|(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final int MAX_NAME = 100;
    private static final int MAX_PREFIX = 500;
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(10);

    private SettingCheck() {}

    static void check(Setting setting, Configuration base) throws ConfigurationException {
        if (setting instanceof Route route) {
            checkRoute(route, base);
        } else if (setting instanceof RetrySetting budget) {
            checkBudget(budget);
        } else if (setting instanceof ServiceSetting service) {
            checkService(service);
        }
    }

    private static void checkRoute(Route route, Configuration base) throws ConfigurationException {
        String name = route.key().toString();
        checkPrefix(name, route.prefix());
        for (String method : route.methods()) {
            require(METHOD.matcher(method).matches(), name, "method '" + method + "'", "write methods as GET or POST");
        }
        checkDeadline(name, route.deadline());
        require(
                base.setting(SettingKey.priorityClass(route.priorityClass())).isPresent(),
                name,
                "class " + route.priorityClass() + " is not known",
                "make it first: set class " + route.priorityClass() + " priority 0..7");
        require(
                base.setting(SettingKey.budget(route.budget())).isPresent(),
                name,
                "budget " + route.budget() + " is not known",
                "make it first: set budget " + route.budget() + " retries 0..16 share 0..1");
        checkMethodsUnused(route, base);
    }

    private static void checkMethodsUnused(Route route, Configuration base) throws ConfigurationException {
        for (Setting other : base.settings().values()) {
            if (other instanceof Route existing
                    && existing.prefix().equals(route.prefix())
                    && !existing.key().equals(route.key())
                    && existing.methods().stream().anyMatch(route.methods()::contains)) {
                throw ConfigurationException.of(
                        route.key().toString(),
                        existing.key() + " names one of its methods already",
                        "remove that route first or name the same methods");
            }
        }
    }

    private static void checkPrefix(String name, String prefix) throws ConfigurationException {
        boolean normalised =
                PREFIX.matcher(prefix).matches() && RoutePath.of(prefix).equals(prefix);
        require(
                normalised && prefix.length() <= MAX_PREFIX,
                name,
                "prefix '" + prefix + "'",
                "begin with a slash, end with none, no query, no percent sign, at most " + MAX_PREFIX + " characters");
    }

    static void checkDeadline(String name, Duration deadline) throws ConfigurationException {
        boolean inRange = deadline.toMillis() >= 1 && deadline.compareTo(MAX_DEADLINE) <= 0;
        require(
                inRange,
                name,
                "deadline " + deadline.toMillis() + "ms",
                "give 1 to " + MAX_DEADLINE.toMillis() + " ms");
    }

    private static void checkBudget(RetrySetting budget) throws ConfigurationException {
        String name = budget.key().toString();
        require(
                budget.name().length() <= MAX_NAME && !budget.name().isEmpty(),
                name,
                "the name is empty or too long",
                "use 1 to " + MAX_NAME + " characters");
        require(
                budget.retries() >= 0 && budget.retries() <= RetrySetting.MAX_RETRIES,
                name,
                "retries " + budget.retries(),
                "give 0 to " + RetrySetting.MAX_RETRIES);
        require(
                budget.share() >= 0 && budget.share() <= 1,
                name,
                "share " + budget.share(),
                "give a share of first tries from 0 to 1");
    }

    private static void checkService(ServiceSetting service) throws ConfigurationException {
        require(
                service.slots() >= 1 && service.slots() <= ServiceSetting.MAX_SLOTS,
                service.key().toString(),
                "slots " + service.slots(),
                "give 1 to " + ServiceSetting.MAX_SLOTS);
    }

    private static void require(boolean condition, String name, String problem, String remedy)
            throws ConfigurationException {
        if (!condition) {
            throw ConfigurationException.of(name, problem, remedy);
        }
    }
}
