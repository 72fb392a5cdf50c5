package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * What a target says of itself in one heartbeat. Immutable.
 *
 * @param sequence rises with each heartbeat of one start, so that a late one is known
 * @param startedAtMillis wall clock time of the target's start, {@link #UNKNOWN_START} when it does not say it; tells
 *     two starts under one id apart
 */
record Heartbeat(Announcement announcement, long sequence, long startedAtMillis) {

    /** Start of a target that does not say when it started. */
    static final long UNKNOWN_START = 0;

    /** Names the time of the start, at the top level of whatever a target says of itself. */
    private static final String STARTED_AT = "born";

    private static final Pattern ADDRESS = Pattern.compile("[0-9.]{7,15}:[0-9]{1,5}");

    /**
     * Reads the body; empty when it is no heartbeat of a target of the service.
     *
     * <p>Guards against what another program sends: a field that is missing, has another type or holds a word that does
     * not exist. Read leniently, an unknown state would count as ready and a missing slot count as none.
     */
    static Optional<Heartbeat> read(ByteString body, String ownService) {
        return tree(body).flatMap(root -> read(root, ownService));
    }

    /** When the sender of the body started; {@link #UNKNOWN_START} when it does not say so. */
    static long startedAt(ByteString body) {
        return tree(body)
                .map(root -> root.path(STARTED_AT))
                .filter(JsonNode::isIntegralNumber)
                .map(JsonNode::asLong)
                .orElse(UNKNOWN_START);
    }

    private static Optional<JsonNode> tree(ByteString body) {
        try {
            return Optional.ofNullable(Json.read(body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Optional<Heartbeat> read(JsonNode root, String ownService) {
        JsonNode fixed = root.path("info");
        JsonNode changing = root.path("status");
        JsonNode service = fixed.path("service");
        JsonNode slots = fixed.path("slots");
        JsonNode sequence = changing.path("sequence");
        JsonNode startedAt = root.path(STARTED_AT);
        Optional<TargetState> state = state(changing.path("state"));
        boolean readable = service.isTextual()
                && service.asText().equals(ownService)
                && isAddress(root.path("address"))
                && slots.canConvertToInt()
                && slots.isIntegralNumber()
                && slots.asInt() > 0
                && sequence.isIntegralNumber()
                && (startedAt.isMissingNode() || startedAt.isIntegralNumber());
        if (!readable || state.isEmpty()) {
            return Optional.empty();
        }
        Announcement announcement =
                new Announcement(service.asText(), root.path("address").asText(), slots.asInt(), state.get());
        return Optional.of(new Heartbeat(announcement, sequence.asLong(), startedAt.asLong(UNKNOWN_START)));
    }

    private static boolean isAddress(JsonNode address) {
        return address.isTextual() && ADDRESS.matcher(address.asText()).matches();
    }

    private static Optional<TargetState> state(JsonNode word) {
        if (!word.isTextual()) {
            return Optional.empty();
        }
        return switch (word.asText()) {
            case "ready" -> Optional.of(TargetState.READY);
            case "draining" -> Optional.of(TargetState.LEAVING);
            default -> Optional.empty();
        };
    }
}
