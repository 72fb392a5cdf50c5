package io.beryldock.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Writes and parses the JSON form of a configuration, with fields in a fixed order and settings in order of their keys.
 * Thread safe.
 */
final class ConfigurationJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ConfigurationJson() {}

    static String write(Configuration configuration) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", configuration.version());
        root.put("lineage", configuration.lineage());
        for (SettingKey.Kind kind : SettingKey.Kind.values()) {
            root.putArray(section(kind));
        }
        for (Setting setting : configuration.settings().values()) {
            ArrayNode list = (ArrayNode) root.get(section(setting.key().kind()));
            list.add(node(setting));
        }
        return root.toPrettyString();
    }

    private static String section(SettingKey.Kind kind) {
        return switch (kind) {
            case ROUTE -> "routes";
            case CLASS -> "classes";
            case BUDGET -> "budgets";
            case SERVICE -> "services";
            case DRAIN -> "drains";
            case OPAQUE -> "opaque";
        };
    }

    private static ObjectNode node(Setting setting) {
        ObjectNode node = MAPPER.createObjectNode();
        if (setting instanceof Route route) {
            node.put("prefix", route.prefix());
            ArrayNode methods = node.putArray("methods");
            route.methods().stream().sorted().forEach(methods::add);
            node.put("service", route.service().value());
            node.put("class", route.priorityClass());
            node.put("idempotent", route.idempotent());
            node.put("deadlineMillis", route.deadline().toMillis());
            node.put("budget", route.budget());
        } else if (setting instanceof ClassSetting rank) {
            node.put("name", rank.priority().name());
            node.put("priority", rank.priority().rank());
        } else if (setting instanceof RetrySetting budget) {
            node.put("name", budget.name());
            node.put("retries", budget.retries());
            node.put("share", budget.share());
        } else if (setting instanceof ServiceSetting service) {
            node.put("name", service.service().value());
            node.put("slots", service.slots());
        } else if (setting instanceof DrainSetting drain) {
            node.put("node", drain.node().value());
        } else if (setting instanceof OpaqueSetting opaque) {
            node.put("kind", opaque.kind());
            node.put("name", opaque.name());
            node.put(
                    "content",
                    Base64.getEncoder().encodeToString(opaque.content().toByteArray()));
        }
        return node;
    }

    static Configuration parse(String json) throws ConfigurationException {
        JsonNode root = read(json);
        List<Setting> settings = new ArrayList<>();
        for (SettingKey.Kind kind : SettingKey.Kind.values()) {
            for (JsonNode node : root.path(section(kind))) {
                settings.add(setting(kind, node));
            }
        }
        Configuration configuration = Configuration.of(
                root.path("lineage").asText(), root.path("version").asLong(), settings);
        for (Setting setting : settings) {
            SettingCheck.check(setting, configuration);
        }
        return configuration;
    }

    private static JsonNode read(String json) throws ConfigurationException {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw ConfigurationException.of(
                    "configuration",
                    "not JSON: " + e.getOriginalMessage(),
                    "give the form of show configuration --json");
        }
    }

    private static Setting setting(SettingKey.Kind kind, JsonNode node) throws ConfigurationException {
        try {
            return switch (kind) {
                case ROUTE -> route(node);
                case CLASS ->
                    new ClassSetting(PriorityClass.of(node.path("name").asText(), integer(node, "priority")));
                case BUDGET ->
                    new RetrySetting(
                            node.path("name").asText(),
                            integer(node, "retries"),
                            node.path("share").asDouble(-1));
                case SERVICE ->
                    new ServiceSetting(ServiceName.of(node.path("name").asText()), integer(node, "slots"));
                case DRAIN -> new DrainSetting(NodeId.of(node.path("node").asText()));
                case OPAQUE -> opaque(node);
            };
        } catch (IllegalArgumentException e) {
            throw ConfigurationException.of(section(kind), e.getMessage(), "correct the entry " + node);
        }
    }

    private static int integer(JsonNode node, String field) {
        return node.path(field).asInt(-1);
    }

    private static Route route(JsonNode node) {
        ImmutableSet.Builder<String> methods = ImmutableSet.builder();
        node.path("methods").forEach(method -> methods.add(method.asText()));
        return new Route(
                node.path("prefix").asText(),
                methods.build(),
                ServiceName.of(node.path("service").asText()),
                node.path("class").asText(),
                node.path("idempotent").asBoolean(),
                Duration.ofMillis(node.path("deadlineMillis").asLong()),
                node.path("budget").asText());
    }

    private static OpaqueSetting opaque(JsonNode node) {
        byte[] content = Base64.getDecoder().decode(node.path("content").asText());
        return new OpaqueSetting(integer(node, "kind"), node.path("name").asText(), ByteString.copyFrom(content));
    }
}
