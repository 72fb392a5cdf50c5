package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.ClassSetting;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.configuration.DocumentDecoder;
import io.beryldock.configuration.RetrySetting;
import io.beryldock.configuration.Route;
import io.beryldock.configuration.Setting;
import io.beryldock.configuration.WeightedService;
import io.beryldock.nettyhttp.HttpServerLimits;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.organisation.Quota;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Decodes the configuration document in which the platform's operators maintain routes, services and limits.
 *
 * <p>Thread safe. The decoder also keeps the newest limits of the HTTP listeners and the health paths of services,
 * because the product's configuration has no setting for them.
 */
final class OperatorDocument implements DocumentDecoder {

    /** Store key of the document. */
    static final String KEY = "op/config";

    private static final int HEXADECIMAL = 16;

    /** Route types whose requests may run more than once. */
    private static final ImmutableSet<String> IDEMPOTENT_TYPES = ImmutableSet.of("safe", "download");

    private static final double NANOS_PER_SECOND = 1e9;

    /** The document limits the retries of one request only; the share allowed to a service is a node setting. */
    private static final double NO_SHARE = 0;

    /** Largest body accepted: bodies are buffered whole, in two copies, on a VM with 330 MB of memory. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /**
     * Limits in force until a document is decoded. A connection that the node closes while the client sends its next
     * request costs the client an attempt. Clients reuse a connection that has been idle for at most four fifths of the
     * idle limit, which leaves a sufficient margin.
     */
    private static final HttpServerLimits INITIAL_LIMITS =
            new HttpServerLimits(16 << 10, MAX_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private final AtomicReference<Extract> newest =
            new AtomicReference<>(new Extract(0, INITIAL_LIMITS, ImmutableMap.of()));

    /** What the product's configuration does not hold, with the version of its document. Immutable. */
    private record Extract(long version, HttpServerLimits limits, ImmutableMap<ServiceName, String> healthPaths) {

        static Extract newerOf(Extract one, Extract other) {
            return other.version > one.version ? other : one;
        }
    }

    HttpServerLimits limits() {
        return newest.get().limits();
    }

    /** The path at which targets of the service tell their health; empty if no document names one. */
    Optional<String> healthPath(ServiceName service) {
        return Optional.ofNullable(newest.get().healthPaths().get(service));
    }

    @Override
    public Configuration decode(ByteString document) throws ConfigurationException {
        JsonNode root;
        try {
            root = Json.read(document);
        } catch (IOException e) {
            throw ConfigurationException.of("document", "it is not valid JSON: " + e.getMessage(), "write it again");
        }
        long version = Long.parseUnsignedLong(root.path("version").asText("0"), HEXADECIMAL);
        List<Setting> settings = new ArrayList<>();
        for (Map.Entry<String, JsonNode> route : root.path("routes").properties()) {
            addRoute(route.getValue(), settings);
        }
        Extract extract = new Extract(version, limits(root.path("limits")), healthPaths(root.path("services")));
        // A store restored from a backup may deliver an older document again.
        newest.accumulateAndGet(extract, Extract::newerOf);
        return Configuration.imported(version, settings).withOrganisations(organisations(root.path("tenants")));
    }

    private static ImmutableMap<ServiceName, String> healthPaths(JsonNode json) {
        ImmutableMap.Builder<ServiceName, String> paths = ImmutableMap.builder();
        for (Map.Entry<String, JsonNode> service : json.properties()) {
            String path = service.getValue().path("healthPath").asText();
            if (path.startsWith("/")) {
                paths.put(ServiceName.of(service.getKey()), path);
            }
        }
        return paths.buildOrThrow();
    }

    private static OrganisationTable organisations(JsonNode json) {
        Map<Organisation, List<String>> keys = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> entry : json.properties()) {
            List<String> apiKeys = new ArrayList<>();
            entry.getValue().path("apiKeys").forEach(key -> apiKeys.add(key.asText()));
            keys.put(organisation(entry.getKey(), entry.getValue()), apiKeys);
        }
        return OrganisationTable.of(keys);
    }

    private static Organisation organisation(String name, JsonNode json) {
        JsonNode priority = json.path("priority");
        OptionalInt rank = priority.isIntegralNumber() ? OptionalInt.of(rank(priority)) : OptionalInt.empty();
        double rate = Math.max(0, json.path("ratePerS").asDouble());
        Quota quota = rate == 0
                ? Quota.unlimited()
                : new Quota(rate, Math.max(0, json.path("burst").asDouble()));
        return new Organisation(OrganisationName.of(name), rank, quota);
    }

    private static int rank(JsonNode json) {
        return Math.max(0, Math.min(PriorityClass.LOWEST_RANK, json.asInt()));
    }

    private static void addRoute(JsonNode json, List<Setting> settings) {
        int rank = rank(json.path("priority"));
        PriorityClass priority = PriorityClass.ofRank(rank);
        // The field counts the targets that one request may be sent to, including the first one.
        int retries = Math.min(
                RetrySetting.MAX_RETRIES, Math.max(0, json.path("attempts").asInt(1) - 1));
        RetrySetting budget = new RetrySetting("retries-" + retries, retries, NO_SHARE);
        ImmutableList<WeightedService> split = split(json.path("trafficSplit"));
        ServiceName service = split.isEmpty()
                ? ServiceName.of(json.path("service").asText())
                : split.get(0).service();
        Route route = new Route(
                json.path("pathPrefix").asText(),
                ImmutableSet.of(),
                service,
                priority.name(),
                IDEMPOTENT_TYPES.contains(json.path("type").asText()),
                seconds(json.path("timeoutS")),
                budget.name());
        settings.add(new ClassSetting(priority));
        settings.add(budget);
        Route open = route.forHost(json.path("hostname").asText(), split)
                .withOpen(json.path("public").asBoolean());
        Duration objective = seconds(json.path("targetLatencyS"));
        settings.add(objective.isZero() ? open : open.withObjective(objective));
    }

    private static ImmutableList<WeightedService> split(JsonNode parts) {
        ImmutableList.Builder<WeightedService> split = ImmutableList.builder();
        for (JsonNode part : parts) {
            ServiceName service = ServiceName.of(part.path("service").asText());
            split.add(new WeightedService(service, part.path("weight").asDouble()));
        }
        return split.build();
    }

    private HttpServerLimits limits(JsonNode json) {
        HttpServerLimits known = limits();
        if (json.isMissingNode()) {
            return known;
        }
        return new HttpServerLimits(
                json.path("maxHeaderBytes").asInt(known.maxHeaderBytes()),
                (int) Math.min(MAX_BODY_BYTES, json.path("maxBodyBytes").asLong(MAX_BODY_BYTES)),
                seconds(json.path("headerTimeoutS")),
                seconds(json.path("idleTimeoutS")));
    }

    private static Duration seconds(JsonNode json) {
        return Duration.ofNanos((long) (json.asDouble() * NANOS_PER_SECOND));
    }
}
