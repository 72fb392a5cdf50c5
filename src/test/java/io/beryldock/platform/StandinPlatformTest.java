package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.SettingsException;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Two nodes, their store and a target on the loopback interface: the whole way of a request on the platform. */
final class StandinPlatformTest {

    /**
     * Story: a client names its organisation's key, and another organisation; the target must be told the name of the
     * key's and never the key, or it refuses. A key that no configuration has ever held is answered 401 and runs
     * nowhere.
     */
    @Test
    void keysOpenTheRouteAndGoNoFurther()
            throws IOException, InterruptedException, SettingsException, PeerStartException {
        try (StandinPlatform platform = StandinPlatform.start()) {
            assertThat(platform.exercise(20)).isEqualTo(20);
            assertThat(platform.requestWithKey("unknown-key")).isEqualTo(401);
            assertThat(platform.requestWithKey("")).isEqualTo(401);
            assertThat(platform.requestWithKey("trial-key")).isEqualTo(200);
        }
    }
}
