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
 * <p>Immutable. Version 0 is the built-in default of a deployment; each accepted change makes the next version. Two
 * configurations of the same lineage and version are equal at every node.
 */
public final class Configuration {

    /** Version of built-in defaults, below every accepted one. */
    public static final long DEFAULTS_VERSION = 0;

    /** Lineage of built-in defaults, which no store has seen. */
    static final String NO_LINEAGE = "";

    /** Lineage of documents that operators keep outside the product. */
    private static final String IMPORTED_LINEAGE = "imported";

    /** Budget of a route whose budget is not in the document: no retry. */
    private static final RetrySetting NO_RETRY = new RetrySetting("none", 0, 0);

    private final String lineage;
    private final long version;
    private final ImmutableSortedMap<SettingKey, Setting> settings;
    private final RouteTable routes;
    private final HostTable hosts;
    private final OrganisationTable organisations;

    /** Ranks from 0 up to the highest that a route has, whether used or not. */
    private final int routeRanks;

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
        this.routeRanks = 1 + highestRank(settings);
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
                RouteTable.of(anyHost(settings)),
                HostTable.of(oneHost(settings)),
                OrganisationTable.empty());
    }

    private static List<Route> anyHost(ImmutableSortedMap<SettingKey, Setting> settings) {
        return routes(settings)
                .filter(route -> route.host().equals(Route.ANY_HOST))
                .toList();
    }

    private static List<Route> oneHost(ImmutableSortedMap<SettingKey, Setting> settings) {
        return routes(settings)
                .filter(route -> !route.host().equals(Route.ANY_HOST))
                .toList();
    }

    private static Stream<Route> routes(ImmutableSortedMap<SettingKey, Setting> settings) {
        return settings.values().stream().filter(Route.class::isInstance).map(Route.class::cast);
    }

    /** Settings that operators keep outside the product, at the version that they gave them. */
    public static Configuration imported(long version, Collection<? extends Setting> settings) {
        return of(IMPORTED_LINEAGE, version, settings);
    }

    /** The same configuration, whose callers are these organisations. */
    public Configuration withOrganisations(OrganisationTable callers) {
        return new Configuration(lineage, version, settings, routes, hosts, callers);
    }

    /** The organisations whose keys open the routes; empty where requests need no key. */
    public OrganisationTable organisations() {
        return organisations;
    }

    /** Built-in settings of a deployment: {@code vandermeulen}, {@code karri-ember} or {@code none}. */
    public static Configuration defaults(String deployment) throws ConfigurationException {
        return of(NO_LINEAGE, DEFAULTS_VERSION, DefaultSettings.of(deployment));
    }

    /** Reads the JSON form and checks each setting. */
    public static Configuration parse(String json) throws ConfigurationException {
        return ConfigurationJson.parse(json);
    }

    /** Canonical JSON: equal configurations have equal text. */
    public String toJson() {
        return ConfigurationJson.write(this);
    }

    public long version() {
        return version;
    }

    /** Tells documents of one store apart from those written after the store had lost its content. */
    public String lineage() {
        return lineage;
    }

    /** All settings in order of their keys. */
    public ImmutableSortedMap<SettingKey, Setting> settings() {
        return settings;
    }

    public Optional<Setting> setting(SettingKey key) {
        return Optional.ofNullable(settings.get(key.whole()));
    }

    /** The route of a request; of those that match, the longest prefix, then the one that names the method. */
    public Optional<Route> find(String method, String path) {
        return routes.find(method, path);
    }

    /** The route of a request to the host: one of that host, else one for any. */
    public Optional<Route> find(String host, String method, String path) {
        Optional<Route> route = hosts.find(host, path);
        return route.isPresent() ? route : find(method, path);
    }

    /** Class of the route; a class that the document lacks has the rank that is shed first. */
    public PriorityClass priorityOf(Route route) {
        Setting setting = settings.get(SettingKey.priorityClass(route.priorityClass()));
        if (setting instanceof ClassSetting found) {
            return found.priority();
        }
        return PriorityClass.of(route.priorityClass(), PriorityClass.LOWEST_RANK);
    }

    /**
     * Class of a request that an organisation makes on the route.
     *
     * <p>Organisations are ordered by their ranks, the requests of organisations of one rank by those of their routes:
     * an order of a usual organisation still goes before its browsing, and all of it behind one that goes first.
     */
    public PriorityClass priorityOf(Route route, Optional<Organisation> organisation) {
        PriorityClass own = priorityOf(route);
        int before = organisation.map(organisations::ranksBefore).orElse(0);
        if (before == 0) {
            return own;
        }
        return PriorityClass.ofRank(Math.min(PriorityClass.LOWEST_RANK, before * routeRanks + own.rank()));
    }

    /** Retry budget of the route; one that the document lacks allows no retry. */
    public RetrySetting budgetOf(Route route) {
        Setting setting = settings.get(SettingKey.budget(route.budget()));
        return setting instanceof RetrySetting found ? found : NO_RETRY;
    }

    /** Whether operators drain the target of the node. */
    public boolean drained(NodeId node) {
        return settings.containsKey(SettingKey.drain(node));
    }

    /** What operators set for the service, if anything. */
    public Optional<ServiceSetting> service(ServiceName name) {
        Setting setting = settings.get(SettingKey.service(name));
        return setting instanceof ServiceSetting found ? Optional.of(found) : Optional.empty();
    }

    /** The next version with one setting put or removed. */
    Configuration with(SettingEdit edit) {
        return edited(List.of(edit));
    }

    /** The version of the last of the changes, which follow this version one by one. */
    Configuration after(List<ChangeRecord> changes) {
        Configuration next = edited(changes.stream().map(ChangeRecord::edit).toList());
        if (!changes.isEmpty() && changes.get(changes.size() - 1).version() != next.version) {
            throw new IllegalArgumentException("changes don't follow version " + version);
        }
        return next;
    }

    private Configuration edited(List<SettingEdit> edits) {
        TreeMap<SettingKey, Setting> map = new TreeMap<>(settings);
        boolean routesTouched = false;
        for (SettingEdit edit : edits) {
            edit.setting().ifPresentOrElse(setting -> map.put(edit.key(), setting), () -> map.remove(edit.key()));
            routesTouched |= edit.key().kind() == SettingKey.Kind.ROUTE;
        }
        ImmutableSortedMap<SettingKey, Setting> next = ImmutableSortedMap.copyOfSorted(map);
        RouteTable table = routesTouched ? RouteTable.of(anyHost(next)) : routes;
        HostTable hostTable = routesTouched ? HostTable.of(oneHost(next)) : hosts;
        return new Configuration(lineage, version + edits.size(), next, table, hostTable, organisations);
    }

    /** The same settings under another lineage and version. */
    Configuration at(String newLineage, long newVersion) {
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
