package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
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
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Reads the document in which the platform's operators keep routes, services and limits.
 *
 * <p>Thread safe. Beside the settings it keeps the newest limits of listeners, which belong to no setting of the
 * product.
 */
final class OperatorDocument implements DocumentDecoder {

    /** Where the operators write it. */
    static final String KEY = "op/config";

    private static final int HEX = 16;

    /** Requests of these types may run more than once. */
    private static final ImmutableSet<String> IDEMPOTENT_TYPES = ImmutableSet.of("safe", "download");

    private static final double NANOS_PER_SECOND = 1e9;

    /** What the document says of retries is a number for one request; the share for a service is in the settings. */
    private static final double NO_SHARE = 0;

    /** Largest body that is taken: bodies are held whole, at two copies on a VM of 330 MB. */
    private static final int HELD_BODY_BYTES = 1 << 20;

    /**
     * A connection that is closed just as its client sends again costs the client an attempt; clients use one that has
     * been idle for up to four fifths of the limit, so that the limit itself leaves time to spare.
     */
    private static final HttpServerLimits FIRST_LIMITS =
            new HttpServerLimits(16 << 10, HELD_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private final AtomicReference<VersionedLimits> newest = new AtomicReference<>(new VersionedLimits(0, FIRST_LIMITS));

    /** Limits and the version of the document that they were read from. Immutable. */
    private record VersionedLimits(long version, HttpServerLimits limits) {

        static VersionedLimits newer(VersionedLimits one, VersionedLimits other) {
            return other.version > one.version ? other : one;
        }
    }

    HttpServerLimits limits() {
        return newest.get().limits();
    }

    @Override
    public Configuration decode(ByteString document) throws ConfigurationException {
        JsonNode root;
        try {
            root = Json.read(document);
        } catch (IOException e) {
            throw ConfigurationException.of("document", "it is no JSON: " + e.getMessage(), "write it again");
        }
        long version = Long.parseUnsignedLong(root.path("version").asText("0"), HEX);
        List<Setting> settings = new ArrayList<>();
        for (Map.Entry<String, JsonNode> route : root.path("routes").properties()) {
            addRoute(route.getValue(), settings);
        }
        VersionedLimits limits = new VersionedLimits(version, limits(root.path("limits")));
        // An older document may come again, from a store that came back from a copy.
        newest.accumulateAndGet(limits, VersionedLimits::newer);
        return Configuration.imported(version, settings).withOrganisations(organisations(root.path("tenants")));
    }

    private static OrganisationTable organisations(JsonNode wire) {
        Map<Organisation, List<String>> keys = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> entry : wire.properties()) {
            List<String> own = new ArrayList<>();
            entry.getValue().path("apiKeys").forEach(key -> own.add(key.asText()));
            keys.put(organisation(entry.getKey(), entry.getValue()), own);
        }
        return OrganisationTable.of(keys);
    }

    private static Organisation organisation(String name, JsonNode wire) {
        JsonNode priority = wire.path("priority");
        OptionalInt rank = priority.isIntegralNumber() ? OptionalInt.of(rank(priority)) : OptionalInt.empty();
        double rate = Math.max(0, wire.path("ratePerS").asDouble());
        Quota quota = rate == 0
                ? Quota.unlimited()
                : new Quota(rate, Math.max(0, wire.path("burst").asDouble()));
        return new Organisation(OrganisationName.of(name), rank, quota);
    }

    private static int rank(JsonNode wire) {
        return Math.max(0, Math.min(PriorityClass.LOWEST_RANK, wire.asInt()));
    }

    private static void addRoute(JsonNode wire, List<Setting> settings) {
        int rank = rank(wire.path("priority"));
        PriorityClass priority = PriorityClass.ofRank(rank);
        // The wire's name means targets that one request may be sent to, the first one included.
        int retries = Math.min(
                RetrySetting.MAX_RETRIES, Math.max(0, wire.path("attempts").asInt(1) - 1));
        RetrySetting budget = new RetrySetting("retries-" + retries, retries, NO_SHARE);
        ImmutableList<WeightedService> split = split(wire.path("trafficSplit"));
        ServiceName service = split.isEmpty()
                ? ServiceName.of(wire.path("service").asText())
                : split.get(0).service();
        Route route = new Route(
                wire.path("pathPrefix").asText(),
                ImmutableSet.of(),
                service,
                priority.name(),
                IDEMPOTENT_TYPES.contains(wire.path("type").asText()),
                seconds(wire.path("timeoutS")),
                budget.name());
        settings.add(new ClassSetting(priority));
        settings.add(budget);
        Route open = route.forHost(wire.path("hostname").asText(), split)
                .withOpen(wire.path("public").asBoolean());
        Duration objective = seconds(wire.path("targetLatencyS"));
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

    private HttpServerLimits limits(JsonNode wire) {
        HttpServerLimits known = limits();
        if (wire.isMissingNode()) {
            return known;
        }
        return new HttpServerLimits(
                wire.path("maxHeaderBytes").asInt(known.maxHeaderBytes()),
                (int) Math.min(HELD_BODY_BYTES, wire.path("maxBodyBytes").asLong(HELD_BODY_BYTES)),
                seconds(wire.path("headerTimeoutS")),
                seconds(wire.path("idleTimeoutS")));
    }

    private static Duration seconds(JsonNode wire) {
        return Duration.ofNanos((long) (wire.asDouble() * NANOS_PER_SECOND));
    }
}
