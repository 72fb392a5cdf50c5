package io.beryldock.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Call;
import io.beryldock.call.TargetNotice;
import io.beryldock.forwarding.TargetFixtures;
import io.beryldock.forwarding.TargetReply;
import io.beryldock.standin.StandinException;
import io.beryldock.standin.StandinTarget;
import io.beryldock.standin.StandinTargetSettings;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import io.beryldock.standin.TargetFaults;
import java.io.IOException;
import java.time.Duration;
import java.util.OptionalDouble;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class HttpTargetClientTest {

    private static TargetReply send(CloseableHttpAsyncClient http, StandinTarget target) {
        Call call = TargetFixtures.read("/lists/1", Duration.ofSeconds(10));
        return HttpTargetClient.create(http, target::address).send(call).reply().join();
    }

    /** Guards against a limit or a leaving that only some of a target's answers bring to the gate. */
    @Test
    void answersAndRefusalsBringWhatTheTargetNames() throws StandinException, IOException {
        StandinTargetSettings settings = StandinTargetSettings.of("lists", 1, ServiceTime.fixed(0));
        try (StandinTarget target = StandinTarget.start(settings);
                CloseableHttpAsyncClient http = HttpClients.start(4, 1)) {
            assertThat(send(http, target).notice()).contains(TargetNotice.none());
            TargetFaults limited = TargetFaults.none().withRateLimit(12.5);
            target.setFaults(limited);
            TargetNotice expected = new TargetNotice(OptionalDouble.of(12.5), false);
            assertThat(send(http, target).notice()).contains(expected);
            target.setFaults(limited.withShedShare(1));
            TargetReply refused = send(http, target);
            assertThat(refused.kind()).isEqualTo(TargetReply.Kind.REFUSED);
            assertThat(refused.notice()).contains(expected);
            target.setFaults(TargetFaults.none().withErrorShare(1));
            target.leave().join();
            assertThat(send(http, target).notice())
                    .contains(new TargetNotice(OptionalDouble.of(TargetNotice.UNLIMITED), true));
        }
    }
}
