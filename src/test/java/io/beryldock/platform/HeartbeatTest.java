package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.membership.TargetState;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HeartbeatTest {

    private static final String SOUND = """
            {"address":"127.0.0.1:9","born":1700000000123,
            "info":{"service":"lists","version":"v1","zone":"gent-a","slots":25},
            "status":{"state":"ready","sequence":4,"coldRemainingS":0}}""";

    private static Optional<Heartbeat> read(String body) {
        return Heartbeat.read(ByteString.copyFromUtf8(body), "lists");
    }

    @Test
    void soundHeartbeatIsRead() {
        Heartbeat beat = read(SOUND).orElseThrow();
        assertThat(beat.announcement().slots()).isEqualTo(25);
        assertThat(beat.announcement().state()).isEqualTo(TargetState.READY);
        assertThat(beat.sequence()).isEqualTo(4);
        assertThat(beat.startedAtMillis()).isEqualTo(1_700_000_000_123L);
    }

    @Test
    void timeOfTheStartMayBeLeftOut() {
        String older = SOUND.replace("\"born\":1700000000123,", "");
        assertThat(read(older).orElseThrow().startedAtMillis()).isEqualTo(Heartbeat.UNKNOWN_START);
    }

    /**
     * Story: a target that is leaving gets orders. Another program's heartbeat held a state that does not exist, which
     * counted as ready.
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
    void spoiledHeartbeatIsNone(String change) {
        String[] parts = change.split("\\|", -1);
        String spoiled = SOUND.replace(parts[0], parts[1]);
        assertThat(spoiled).isNotEqualTo(SOUND);
        assertThat(read(spoiled)).isEmpty();
    }

    @Test
    void bodyThatIsNoJsonIsNone() {
        assertThat(read("")).isEmpty();
        assertThat(read("7")).isEmpty();
        assertThat(Heartbeat.startedAt(ByteString.EMPTY)).isEqualTo(Heartbeat.UNKNOWN_START);
    }
}
