package io.beryldock.configuration;

import com.google.common.collect.ImmutableSortedMap;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationTable;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The operators' settings at one version.
 *
 * <p>Immutable. Version 0 holds the built-in defaults of a deployment; each accepted change creates the next version.
 * Two configurations with the same lineage and version are equal on all nodes.
 */
public final class Configuration {

    /** Version of the built-in defaults, lower than the version of every accepted change. */
    public static final long DEFAULTS_VERSION = 0;

    /** Lineage of the built-in defaults, which have never been written to a store. */
    static final String NO_LINEAGE = "";

    /** Lineage of documents that operators maintain outside the product. */
    private static final String IMPORTED_LINEAGE = "imported";

    /** Budget of a route whose named budget is not in the document: no retries. */
    private static final RetrySetting NO_RETRY = new RetrySetting("none", 0, 0);

    private final String lineage;
    private final long version;
    private final ImmutableSortedMap<SettingKey, Setting> settings;
    private final RouteTable routes;
    private final HostTable hosts;
    private final OrganisationTable organisations;

    /** Number of ranks from 0 to the highest rank of any priority class, used or not. */
    private final int rankCount;

    private Configuration(
            String lineage,
            long version,
            ImmutableSortedMap<SettingKey, Setting> settings,
            RouteTable routes,
            HostTable hosts,
            OrganisationTable organisations) {
        this.lineage = lineage;
        this.version = version;
        this.settings = settings;
        this.routes = routes;
        this.hosts = hosts;
        this.organisations = organisations;
        this.rankCount = 1 + highestRank(settings);
    }

    private static int highestRank(ImmutableSortedMap<SettingKey, Setting> settings) {
        return settings.values().stream()
                .mapToInt(setting ->
                        setting instanceof ClassSetting found ? found.priority().rank() : 0)
                .max()
                .orElse(0);
    }

    static Configuration of(String lineage, long version, Collection<? extends Setting> settings) {
        TreeMap<SettingKey, Setting> map = new TreeMap<>();
        settings.forEach(setting -> map.put(setting.key(), setting));
        return of(lineage, version, ImmutableSortedMap.copyOfSorted(map));
    }

    private static Configuration of(String lineage, long version, ImmutableSortedMap<SettingKey, Setting> settings) {
        return new Configuration(
                lineage,
                version,
                settings,
                RouteTable.of(routesForAnyHost(settings)),
                HostTable.of(routesForOneHost(settings)),
                OrganisationTable.empty());
    }

    private static List<Route> routesForAnyHost(ImmutableSortedMap<SettingKey, Setting> settings) {
        return routes(settings)
                .filter(route -> route.host().equals(Route.ANY_HOST))
                .toList();
    }

    private static List<Route> routesForOneHost(ImmutableSortedMap<SettingKey, Setting> settings) {
        return routes(settings)
                .filter(route -> !route.host().equals(Route.ANY_HOST))
                .toList();
    }

    private static Stream<Route> routes(ImmutableSortedMap<SettingKey, Setting> settings) {
        return settings.values().stream().filter(Route.class::isInstance).map(Route.class::cast);
    }

    /** Creates a configuration from settings that operators maintain outside the product, at the operators' version. */
    public static Configuration imported(long version, Collection<? extends Setting> settings) {
        return of(IMPORTED_LINEAGE, version, settings);
    }

    /** Returns this configuration with another table of calling organisations. */
    public Configuration withOrganisations(OrganisationTable callers) {
        return new Configuration(lineage, version, settings, routes, hosts, callers);
    }

    /** Returns the organisations whose keys are accepted; empty if requests need no key. */
    public OrganisationTable organisations() {
        return organisations;
    }

    /** Returns the built-in settings of a deployment: {@code vandermeulen}, {@code karri-ember} or {@code none}. */
    public static Configuration defaults(String deployment) throws ConfigurationException {
        return of(NO_LINEAGE, DEFAULTS_VERSION, DefaultSettings.of(deployment));
    }

    /** Parses the JSON form and checks each setting. */
    public static Configuration parse(String json) throws ConfigurationException {
        return ConfigurationJson.parse(json);
    }

    /** Returns canonical JSON: equal configurations have equal text. */
    public String toJson() {
        return ConfigurationJson.write(this);
    }

    public long version() {
        return version;
    }

    /**
     * Returns the lineage, which distinguishes documents written before the store lost its content from those written
     * after.
     */
    public String lineage() {
        return lineage;
    }

    /** Returns all settings in order of their keys. */
    public ImmutableSortedMap<SettingKey, Setting> settings() {
        return settings;
    }

    public Optional<Setting> setting(SettingKey key) {
        return Optional.ofNullable(settings.get(key.whole()));
    }

    /**
     * Finds the route of a request: among the matching routes, the longest prefix, then a route that names the method.
     */
    public Optional<Route> find(String method, String path) {
        return routes.find(method, path);
    }

    /** Finds the route of a request to a host: a route for that host, otherwise a route for any host. */
    public Optional<Route> find(String host, String method, String path) {
        Optional<Route> route = hosts.find(host, path);
        return route.isPresent() ? route : find(method, path);
    }

    /** Returns the priority class of a route; a class that is not in the document gets the rank that is shed first. */
    public PriorityClass priorityOf(Route route) {
        Setting setting = settings.get(SettingKey.priorityClass(route.priorityClass()));
        if (setting instanceof ClassSetting found) {
            return found.priority();
        }
        return PriorityClass.of(route.priorityClass(), PriorityClass.LOWEST_RANK);
    }

    /**
     * Returns the priority class of a request that an organisation makes on the route.
     *
     * <p>Requests are ordered first by the rank of their organisation, then by the rank of their route. Within one
     * organisation rank, orders still take precedence over browsing; all requests of a lower organisation rank come
     * after all requests of a higher one.
     */
    public PriorityClass priorityOf(Route route, Optional<Organisation> organisation) {
        PriorityClass own = priorityOf(route);
        int ranksBefore = organisation.map(organisations::ranksBefore).orElse(0);
        if (ranksBefore == 0) {
            return own;
        }
        return PriorityClass.ofRank(Math.min(PriorityClass.LOWEST_RANK, ranksBefore * rankCount + own.rank()));
    }

    /** Returns the retry budget of a route; a budget that is not in the document allows no retries. */
    public RetrySetting budgetOf(Route route) {
        Setting setting = settings.get(SettingKey.budget(route.budget()));
        return setting instanceof RetrySetting found ? found : NO_RETRY;
    }

    /** Whether operators have drained the target of the node. */
    public boolean drained(NodeId node) {
        return settings.containsKey(SettingKey.drain(node));
    }

    /** Returns the operators' setting for the service, if there is one. */
    public Optional<ServiceSetting> service(ServiceName name) {
        Setting setting = settings.get(SettingKey.service(name));
        return setting instanceof ServiceSetting found ? Optional.of(found) : Optional.empty();
    }

    /** Returns the next version, with one setting set or removed. */
    Configuration with(SettingEdit edit) {
        return withEdits(List.of(edit));
    }

    /** Returns the configuration after the changes, whose versions must follow this version consecutively. */
    Configuration after(List<ChangeRecord> changes) {
        Configuration next = withEdits(changes.stream().map(ChangeRecord::edit).toList());
        if (!changes.isEmpty() && changes.get(changes.size() - 1).version() != next.version) {
            throw new IllegalArgumentException("changes don't follow version " + version);
        }
        return next;
    }

    private Configuration withEdits(List<SettingEdit> edits) {
        TreeMap<SettingKey, Setting> map = new TreeMap<>(settings);
        boolean routesTouched = false;
        for (SettingEdit edit : edits) {
            edit.setting().ifPresentOrElse(setting -> map.put(edit.key(), setting), () -> map.remove(edit.key()));
            routesTouched |= edit.key().kind() == SettingKey.Kind.ROUTE;
        }
        ImmutableSortedMap<SettingKey, Setting> next = ImmutableSortedMap.copyOfSorted(map);
        RouteTable table = routesTouched ? RouteTable.of(routesForAnyHost(next)) : routes;
        HostTable hostTable = routesTouched ? HostTable.of(routesForOneHost(next)) : hosts;
        return new Configuration(lineage, version + edits.size(), next, table, hostTable, organisations);
    }

    /** Returns the same settings under another lineage and version. */
    Configuration withVersion(String newLineage, long newVersion) {
        return new Configuration(newLineage, newVersion, settings, routes, hosts, organisations);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that
                && version == that.version
                && lineage.equals(that.lineage)
                && settings.equals(that.settings);
    }

    @Override
    public int hashCode() {
        return Objects.hash(lineage, version, settings);
    }

    @Override
    public String toString() {
        return "configuration version " + version + " with " + settings.size() + " settings";
    }
}
