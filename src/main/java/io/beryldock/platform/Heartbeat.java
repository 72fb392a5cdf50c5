package io.beryldock.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.io.IOException;
import java.util.Optional;

/**
 * What a target says of itself in one heartbeat. Immutable.
 *
 * @param sequence rises with each heartbeat of one start, so that a late one is known
 */
record Heartbeat(Announcement announcement, long sequence) {

    /** Reads the body; empty when it is no heartbeat. */
    static Optional<Heartbeat> read(ByteString body) {
        JsonNode root;
        try {
            root = Json.read(body);
        } catch (IOException e) {
            return Optional.empty();
        }
        JsonNode fixed = root.path("info");
        JsonNode changing = root.path("status");
        String service = fixed.path("service").asText();
        String address = root.path("address").asText();
        int slots = fixed.path("slots").asInt();
        if (service.isEmpty() || address.isEmpty() || slots <= 0) {
            return Optional.empty();
        }
        boolean leaving = changing.path("state").asText().equals("draining");
        Announcement announcement =
                new Announcement(service, address, slots, leaving ? TargetState.LEAVING : TargetState.READY);
        return Optional.of(new Heartbeat(announcement, changing.path("sequence").asLong()));
    }
}
