package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The content of one heartbeat of a target. Immutable.
 *
 * @param sequence increases with each heartbeat of one start of the target, so that a late heartbeat can be detected
 * @param startedAtMillis wall clock time at which the target started, or {@link #UNKNOWN_START} if the heartbeat does
 *     not contain it; distinguishes two starts under the same id
 */
record Heartbeat(Announcement announcement, long sequence, long startedAtMillis) {

    /** Start time of a target whose heartbeat does not contain one. */
    static final long UNKNOWN_START = 0;

    /** Top-level field that contains the start time, in every body that a target sends about itself. */
    private static final String STARTED_AT = "born";

    private static final Pattern ADDRESS = Pattern.compile("[0-9.]{7,15}:[0-9]{1,5}");

    /**
     * Reads a heartbeat from the body; empty if the body is not a valid heartbeat of a target of the service.
     *
     * <p>Validation is strict because other programs may send heartbeats in which a field is missing, has another type
     * or contains an unknown value. A lenient reader would take an unknown state for ready and a missing slot count for
     * zero.
     */
    static Optional<Heartbeat> read(ByteString body, String ownService) {
        return parse(body).flatMap(root -> read(root, ownService));
    }

    /** The start time of the body's sender, or {@link #UNKNOWN_START} if the body does not contain it. */
    static long startedAt(ByteString body) {
        return parse(body)
                .map(root -> root.path(STARTED_AT))
                .filter(JsonNode::isIntegralNumber)
                .map(JsonNode::asLong)
                .orElse(UNKNOWN_START);
    }

    private static Optional<JsonNode> parse(ByteString body) {
        try {
            return Optional.ofNullable(Json.read(body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Optional<Heartbeat> read(JsonNode root, String ownService) {
        JsonNode info = root.path("info");
        JsonNode status = root.path("status");
        JsonNode service = info.path("service");
        JsonNode slots = info.path("slots");
        JsonNode sequence = status.path("sequence");
        JsonNode startedAt = root.path(STARTED_AT);
        Optional<TargetState> state = state(status.path("state"));
        boolean valid = service.isTextual()
                && service.asText().equals(ownService)
                && isAddress(root.path("address"))
                && slots.canConvertToInt()
                && slots.isIntegralNumber()
                && slots.asInt() > 0
                && sequence.isIntegralNumber()
                && (startedAt.isMissingNode() || startedAt.isIntegralNumber());
        if (!valid || state.isEmpty()) {
            return Optional.empty();
        }
        Announcement announcement =
                new Announcement(service.asText(), root.path("address").asText(), slots.asInt(), state.get());
        return Optional.of(new Heartbeat(announcement, sequence.asLong(), startedAt.asLong(UNKNOWN_START)));
    }

    private static boolean isAddress(JsonNode address) {
        return address.isTextual() && ADDRESS.matcher(address.asText()).matches();
    }

    private static Optional<TargetState> state(JsonNode field) {
        if (!field.isTextual()) {
            return Optional.empty();
        }
        return switch (field.asText()) {
            case "ready" -> Optional.of(TargetState.READY);
            case "draining" -> Optional.of(TargetState.LEAVING);
            default -> Optional.empty();
        };
    }
}
