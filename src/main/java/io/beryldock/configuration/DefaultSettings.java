package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.List;

/** The built-in settings of each deployment, in force until an operator changes them. Stateless, thread safe. */
final class DefaultSettings {

    private static final String NO_RETRY_BUDGET = "none";
    private static final int DEFAULT_RETRIES = 3;
    private static final double DEFAULT_SHARE = 0.1;
    private static final Duration PAGE_DEADLINE = Duration.ofSeconds(3);
    private static final Duration ORDER_DEADLINE = Duration.ofSeconds(10);
    private static final ImmutableSet<String> WRITE_METHODS = ImmutableSet.of("POST", "PUT", "PATCH", "DELETE");
    private static final int PAGE_RANK = 3;
    private static final int SEARCH_RANK = 4;
    private static final int STATUS_RANK = 2;
    private static final int LOGS_RANK = 4;
    private static final int INNER_RANK = 5;

    private DefaultSettings() {}

    static List<Setting> of(String deployment) throws ConfigurationException {
        return switch (deployment) {
            case "vandermeulen" -> vandermeulen();
            case "karri-ember" -> karriEmber();
            case "none" -> common();
            default ->
                throw ConfigurationException.of(
                        "deployment", "'" + deployment + "' is not known", "use vandermeulen, karri-ember or none");
        };
    }

    private static List<Setting> common() {
        return List.of(
                new RetrySetting(RetrySetting.STANDARD, DEFAULT_RETRIES, DEFAULT_SHARE),
                new RetrySetting(NO_RETRY_BUDGET, 0, 0),
                rank("inner", INNER_RANK),
                rank("browsing", PriorityClass.LOWEST_RANK));
    }

    private static List<Setting> vandermeulen() {
        return ImmutableList.<Setting>builder()
                .addAll(common())
                .add(rank("order", 0), rank("reservation", 0))
                .add(rank("page", PAGE_RANK), rank("availability", PAGE_RANK), rank("search", SEARCH_RANK))
                .add(read("/lists", "lists", "page"))
                .add(write("/lists", "lists", "page"))
                .add(read("/search", "catalogue", "search"))
                .add(read("/catalogue", "catalogue", "browsing"))
                .add(read("/browse", "catalogue", "browsing"))
                .add(read("/availability", "holdings", "availability"))
                .add(read("/holdings", "holdings", "availability"))
                .add(read("/orders", "orders", "page"))
                .add(write("/orders", "orders", "order"))
                .add(read("/reservations", "orders", "page"))
                .add(write("/reservations", "orders", "reservation"))
                .build();
    }

    private static List<Setting> karriEmber() {
        return ImmutableList.<Setting>builder()
                .addAll(common())
                .add(rank("start", 0), rank("status", STATUS_RANK), rank("logs", LOGS_RANK))
                .add(read("/status", "statusboard", "status"))
                .add(read("/programmes", "recipebook", "browsing"))
                .add(read("/recipes", "recipebook", "browsing"))
                .add(read("/heatlog", "heatlog", "logs"))
                .add(read("/starts", "bakecontrol", "status"))
                .add(write("/starts", "bakecontrol", "start"))
                .build();
    }

    private static Setting rank(String name, int rank) {
        return new ClassSetting(PriorityClass.of(name, rank));
    }

    private static Setting read(String prefix, String service, String priorityClass) {
        return new Route(
                prefix,
                ImmutableSet.of(),
                ServiceName.of(service),
                priorityClass,
                true,
                PAGE_DEADLINE,
                RetrySetting.STANDARD);
    }

    private static Setting write(String prefix, String service, String priorityClass) {
        return new Route(
                prefix,
                WRITE_METHODS,
                ServiceName.of(service),
                priorityClass,
                false,
                ORDER_DEADLINE,
                RetrySetting.STANDARD);
    }
}
