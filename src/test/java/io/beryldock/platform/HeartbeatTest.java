package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.membership.TargetState;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HeartbeatTest {

    private static final String VALID = """
            {"address":"127.0.0.1:9","born":1700000000123,
            "info":{"service":"lists","version":"v1","zone":"gent-a","slots":25},
            "status":{"state":"ready","sequence":4,"coldRemainingS":0}}""";

    private static Optional<Heartbeat> read(String body) {
        return Heartbeat.read(ByteString.copyFromUtf8(body), "lists");
    }

    @Test
    void validHeartbeatIsRead() {
        Heartbeat heartbeat = read(VALID).orElseThrow();
        assertThat(heartbeat.announcement().slots()).isEqualTo(25);
        assertThat(heartbeat.announcement().state()).isEqualTo(TargetState.READY);
        assertThat(heartbeat.sequence()).isEqualTo(4);
        assertThat(heartbeat.startedAtMillis()).isEqualTo(1_700_000_000_123L);
    }

    @Test
    void startTimeIsOptional() {
        String withoutStart = VALID.replace("\"born\":1700000000123,", "");
        assertThat(read(withoutStart).orElseThrow().startedAtMillis()).isEqualTo(Heartbeat.UNKNOWN_START);
    }

    /**
     * Guards against requests to a target that is leaving: another program sends a heartbeat with an unknown state, and
     * the node takes that state for ready.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"ready\"|\"resting\"",
                "\"ready\"|7",
                "\"lists\"|\"orders\"",
                "\"lists\"|null",
                "25|\"25\"",
                "25|0",
                "25|2.5",
                "\"sequence\":4,|",
                "\"sequence\":4|\"sequence\":\"4\"",
                "1700000000123|\"yesterday\"",
                "1700000000123|1700000000.5",
                "\"127.0.0.1:9\"|9",
                "\"127.0.0.1:9\"|\"here\"",
                "{|["
            })
    void invalidHeartbeatIsRejected(String change) {
        String[] parts = change.split("\\|", -1);
        String invalid = VALID.replace(parts[0], parts[1]);
        assertThat(invalid).isNotEqualTo(VALID);
        assertThat(read(invalid)).isEmpty();
    }

    @Test
    void bodyThatIsNotAJsonObjectIsRejected() {
        assertThat(read("")).isEmpty();
        assertThat(read("7")).isEmpty();
        assertThat(Heartbeat.startedAt(ByteString.EMPTY)).isEqualTo(Heartbeat.UNKNOWN_START);
    }
}
