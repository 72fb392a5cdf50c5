package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Uses PEM files from the resources, which were generated with openssl and are valid from 2020 to 2120. */
class PeerTlsTest {

    private static final int LARGE = 1 << 20;
    private static final Duration TIME_TO_RELOAD = Duration.ofSeconds(11);

    @TempDir
    private Path directory;

    private static Path resource(String name) throws URISyntaxException {
        return Path.of(PeerTlsTest.class.getResource(name).toURI());
    }

    private static PeerTransportSettings settings(String node, String authority) throws URISyntaxException {
        PeerTlsFiles files =
                new PeerTlsFiles(resource(node + ".pem"), resource(node + ".key.pem"), resource(authority + "-ca.pem"));
        return PeerTransportSettings.secure(PeerPair.anyPort(), files);
    }

    private static PeerTransportSettings unencrypted() {
        return PeerTransportSettings.insecure(PeerPair.anyPort());
    }

    private void copyResource(String resource, String name) throws IOException, URISyntaxException {
        Files.copy(resource(resource), directory.resolve(name), StandardCopyOption.REPLACE_EXISTING);
    }

    private static void assertRequestNotSent(PeerTransportSettings settingsOfA, PeerTransportSettings settingsOfB)
            throws Exception {
        try (PeerPair pair = PeerPair.start(settingsOfA, settingsOfB)) {
            var reply = pair.request(PeerTopic.QUERY, "x");
            pair.advanceUntil(
                    reply::isDone, PeerLimits.defaults().connectTimeout().multipliedBy(2));
            assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.NOT_SENT);
            assertThat(pair.held).isEmpty();
        }
    }

    @Test
    void nodesWithCertificatesOfOneAuthorityExchangeMessages() throws Exception {
        try (PeerPair pair = PeerPair.start(settings("node-a", "fleet"), settings("node-b", "fleet"))) {
            assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "secret"))).isEqualTo("secret");
        }
    }

    /**
     * Guards against an untrusted process that reads or sends messages. A process with a certificate of another
     * authority, or without one, reaches the peer port; no message is delivered, whichever side makes the connection.
     */
    @Test
    void noMessageIsExchangedWithAnUntrustedPeer() throws Exception {
        assertRequestNotSent(settings("stranger", "fleet"), settings("node-b", "fleet"));
        assertRequestNotSent(settings("node-a", "fleet"), settings("stranger", "fleet"));
        assertRequestNotSent(unencrypted(), settings("node-b", "fleet"));
        assertRequestNotSent(settings("node-a", "fleet"), unencrypted());
    }

    /**
     * Guards against a request that hangs on a silent connection with TLS, whose close_notify message can't be written
     * either. The connection must be abandoned within the same limit as without TLS.
     */
    @Test
    void aSilentConnectionWithTlsIsAbandonedWithinTheLimit() throws Exception {
        try (PeerPair pair = PeerPair.start(settings("node-a", "fleet"), settings("node-b", "fleet"))) {
            var reply = pair.requestHeld("order");
            pair.relay.setForwardFault(FaultyRelay.Fault.FREEZE);
            pair.relay.setBackwardFault(FaultyRelay.Fault.LOSE);
            ByteString large = ByteString.copyFrom(new byte[LARGE]);
            for (int i = 0; i < 20; i++) {
                var unused = pair.a.request(pair.relay.address(), PeerTopic.CALL, large, PeerPair.LONG);
            }
            pair.advanceUntil(reply::isDone, Duration.ofMillis(1200));
            assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
            assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "next"))).isEqualTo("next");
        }
    }

    /**
     * Guards against nodes that can't connect after their keys were renewed. The files change while the node runs: open
     * connections are kept, new connections use the new files, and a partly written file changes nothing.
     */
    @Test
    void changedFilesAreUsedForNewConnections() throws Exception {
        copyResource("node-a.pem", "cert");
        copyResource("node-a.key.pem", "key");
        copyResource("fleet-ca.pem", "trust");
        PeerTlsFiles files =
                new PeerTlsFiles(directory.resolve("cert"), directory.resolve("key"), directory.resolve("trust"));
        PeerTransportSettings settingsOfA = PeerTransportSettings.secure(PeerPair.anyPort(), files);
        try (PeerPair pair = PeerPair.start(settingsOfA, settings("node-b", "fleet"))) {
            assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "1"))).isEqualTo("1");
            Files.writeString(directory.resolve("key"), "half written");
            pair.timers.advance(TIME_TO_RELOAD);
            pair.relay.closeConnections();
            PeerPair.await(() -> pair.a.stats().connections().isEmpty());
            assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "2"))).isEqualTo("2");

            copyResource("stranger.pem", "cert");
            copyResource("stranger.key.pem", "key");
            pair.timers.advance(TIME_TO_RELOAD);
            assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "3"))).isEqualTo("3");
            pair.relay.closeConnections();
            PeerPair.await(() -> pair.a.stats().connections().isEmpty());
            assertThat(PeerPair.failure(pair.request(PeerTopic.CALL, "4"))).isEqualTo(PeerException.Kind.NOT_SENT);
        }
    }

    @Test
    void unusableFilesAreReportedWithTheSettingsKeyAndTheRemedy() throws Exception {
        PeerTlsFiles missing = new PeerTlsFiles(Path.of("no-such.pem"), Path.of("no-key.pem"), Path.of("no-ca.pem"));
        PeerTransportSettings settings = PeerTransportSettings.secure(PeerPair.anyPort(), missing);
        assertThatThrownBy(() -> PeerPair.start(settings, settings))
                .isInstanceOf(PeerStartException.class)
                .hasMessageContaining("peers.tls")
                .hasMessageContaining("give PEM files");
    }
}
