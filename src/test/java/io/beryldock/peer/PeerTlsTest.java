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

/** The PEM files in the resources were made once with openssl, valid from 2020 to 2120. */
class PeerTlsTest {

    private static final int LARGE = 1 << 20;
    private static final Duration RELOAD = Duration.ofSeconds(11);

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

    private static PeerTransportSettings clear() {
        return PeerTransportSettings.insecure(PeerPair.anyPort());
    }

    private void put(String from, String as) throws IOException, URISyntaxException {
        Files.copy(resource(from), directory.resolve(as), StandardCopyOption.REPLACE_EXISTING);
    }

    private static void refuses(PeerTransportSettings ofA, PeerTransportSettings ofB) throws Exception {
        try (PeerPair pair = PeerPair.start(ofA, ofB)) {
            var reply = pair.ask(PeerTopic.QUERY, "x");
            pair.advanceUntil(
                    reply::isDone, PeerLimits.defaults().connectTimeout().multipliedBy(2));
            assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.NOT_SENT);
            assertThat(pair.held).isEmpty();
        }
    }

    @Test
    void nodesOfOneAuthorityTalk() throws Exception {
        try (PeerPair pair = PeerPair.start(settings("node-a", "fleet"), settings("node-b", "fleet"))) {
            assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "secret"))).isEqualTo("secret");
        }
    }

    /**
     * A stranger reads orders or sends them. It reaches the port with a certificate of another authority, or with none:
     * in neither role does it get a message across.
     */
    @Test
    void strangersGetNothingAcross() throws Exception {
        refuses(settings("stranger", "fleet"), settings("node-b", "fleet"));
        refuses(settings("node-a", "fleet"), settings("stranger", "fleet"));
        refuses(clear(), settings("node-b", "fleet"));
        refuses(settings("node-a", "fleet"), clear());
    }

    /**
     * An order hangs on a connection that went silent, under TLS: its closing message can't be written either. The
     * connection is given up in the same bound as without TLS.
     */
    @Test
    void aSilentConnectionUnderTlsIsGivenUpInTheSameBound() throws Exception {
        try (PeerPair pair = PeerPair.start(settings("node-a", "fleet"), settings("node-b", "fleet"))) {
            var reply = pair.askHeld("order");
            pair.relay.spoilForth(FaultyRelay.Fault.FREEZE);
            pair.relay.spoilBack(FaultyRelay.Fault.LOSE);
            ByteString large = ByteString.copyFrom(new byte[LARGE]);
            for (int i = 0; i < 20; i++) {
                var unused = pair.a.request(pair.relay.address(), PeerTopic.CALL, large, PeerPair.LONG);
            }
            pair.advanceUntil(reply::isDone, Duration.ofMillis(1200));
            assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.LOST);
            assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "next"))).isEqualTo("next");
        }
    }

    /**
     * Nodes can't reach one another after their keys were renewed. The files change under the running node: connections
     * that stand go on, new ones use the new files; a file caught half written changes nothing.
     */
    @Test
    void changedFilesAreUsedForNewConnections() throws Exception {
        put("node-a.pem", "cert");
        put("node-a.key.pem", "key");
        put("fleet-ca.pem", "trust");
        PeerTlsFiles files =
                new PeerTlsFiles(directory.resolve("cert"), directory.resolve("key"), directory.resolve("trust"));
        PeerTransportSettings ofA = PeerTransportSettings.secure(PeerPair.anyPort(), files);
        try (PeerPair pair = PeerPair.start(ofA, settings("node-b", "fleet"))) {
            assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "1"))).isEqualTo("1");
            Files.writeString(directory.resolve("key"), "half written");
            pair.timers.advance(RELOAD);
            pair.relay.cut();
            PeerPair.await(() -> pair.a.stats().connections().isEmpty());
            assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "2"))).isEqualTo("2");

            put("stranger.pem", "cert");
            put("stranger.key.pem", "key");
            pair.timers.advance(RELOAD);
            assertThat(PeerPair.get(pair.ask(PeerTopic.CALL, "3"))).isEqualTo("3");
            pair.relay.cut();
            PeerPair.await(() -> pair.a.stats().connections().isEmpty());
            assertThat(PeerPair.failure(pair.ask(PeerTopic.CALL, "4"))).isEqualTo(PeerException.Kind.NOT_SENT);
        }
    }

    @Test
    void unusableFilesAreNamedWithTheRemedy() throws Exception {
        PeerTlsFiles missing = new PeerTlsFiles(Path.of("no-such.pem"), Path.of("no-key.pem"), Path.of("no-ca.pem"));
        PeerTransportSettings settings = PeerTransportSettings.secure(PeerPair.anyPort(), missing);
        assertThatThrownBy(() -> PeerPair.start(settings, settings))
                .isInstanceOf(PeerStartException.class)
                .hasMessageContaining("peers.tls")
                .hasMessageContaining("give PEM files");
    }
}
