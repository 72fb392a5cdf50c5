package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.SettingsException;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** End-to-end tests of requests through two nodes, with their store and a target on the loopback interface. */
final class StandinPlatformTest {

    /**
     * Guards against a credential or a spoofed organisation that reaches the target. The client sends its
     * organisation's key and the name of another organisation. The target refuses a request unless it contains the name
     * of the key's organisation and no key. A request with a key that no configuration has ever contained gets status
     * 401 and does not run.
     */
    @Test
    void keyAuthorisesRequestAndIsNotForwarded()
            throws IOException, InterruptedException, SettingsException, PeerStartException {
        try (StandinPlatform platform = StandinPlatform.start()) {
            assertThat(platform.exercise(20)).isEqualTo(20);
            assertThat(platform.requestWithKey("unknown-key")).isEqualTo(401);
            assertThat(platform.requestWithKey("")).isEqualTo(401);
            assertThat(platform.requestWithKey("trial-key")).isEqualTo(200);
        }
    }
}
