package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.peer.FaultyRelay.Fault;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Hello;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerConnectTest {

    private static final PeerLimits LIMITS = PeerLimits.defaults();
    private static final Duration TICK = PeerLiveness.defaults().tick();

    private PeerPair pair;

    @BeforeEach
    void start() throws Exception {
        pair = PeerPair.start();
    }

    @AfterEach
    void stop() throws Exception {
        pair.close();
    }

    /**
     * Guards against callers that wait for a node that is gone. Nothing listens at its address: the first request fails
     * as not sent when the connect is refused, requests during the back-off fail at once, and after the back-off a
     * restarted node is reached.
     */
    @Test
    void aRefusedConnectFailsAsNotSentAndRequestsFailFastDuringTheBackoff() throws Exception {
        ServerSocket probeSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = new InetSocketAddress(probeSocket.getInetAddress(), probeSocket.getLocalPort());
        probeSocket.close();
        assertThat(failure(address)).isEqualTo(PeerException.Kind.NOT_SENT);
        try (NettyPeerTransport restarted = NettyPeerTransport.create(
                PeerTransportSettings.insecure(address), PeerPair.identity("c"), pair.timers, pair.sink())) {
            restarted.registerHandler(PeerTopic.CALL, message -> message.reply(message.body()));
            restarted.start();
            assertThat(failure(address)).isEqualTo(PeerException.Kind.NOT_SENT);
            pair.advance(LIMITS.backoffMin());
            assertThat(PeerPair.get(pair.a.request(address, PeerTopic.CALL, PeerPair.text("x"), PeerPair.LONG)))
                    .isEqualTo("x");
        }
    }

    /**
     * Guards against callers that wait for a node that hangs. Its kernel still accepts connections but its process
     * sends no hello. No request was written, so all fail as not sent after the connect timeout; requests above the
     * limit of waiting messages fail at once.
     */
    @Test
    void requestsToAPeerThatSendsNoHelloFailAsNotSent() throws Exception {
        pair.relay.setFaultOfNewConnections(Fault.LOSE);
        List<CompletableFuture<ByteString>> replies = new ArrayList<>();
        for (int i = 0; i < LIMITS.maxWaitingMessages(); i++) {
            replies.add(pair.request(PeerTopic.QUERY, "ask"));
        }
        assertThat(PeerPair.failure(pair.request(PeerTopic.QUERY, "too many"))).isEqualTo(PeerException.Kind.NOT_SENT);
        pair.advance(LIMITS.connectTimeout().minus(TICK.multipliedBy(2)));
        assertThat(replies).noneMatch(CompletableFuture::isDone);
        pair.advance(TICK.multipliedBy(3));
        for (CompletableFuture<ByteString> reply : replies) {
            assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.NOT_SENT);
        }
        assertThat(pair.held).isEmpty();
    }

    @Test
    void aRequestWhoseDeadlinePassesBeforeTheConnectFailsAsNotSent() throws Exception {
        pair.relay.setFaultOfNewConnections(Fault.LOSE);
        CompletableFuture<ByteString> reply =
                pair.a.request(pair.relay.address(), PeerTopic.CALL, PeerPair.text("x"), TICK);
        pair.advance(TICK.multipliedBy(2));
        assertThat(PeerPair.failure(reply)).isEqualTo(PeerException.Kind.NOT_SENT);
    }

    /**
     * Guards against a request that runs on the wrong node. A VM was replaced and its address was assigned to a new
     * node. The hello names a node other than the expected one, so the connection is abandoned before the request is
     * written.
     */
    @Test
    void aRequestIsNotSentToAnUnexpectedNodeAtTheAddress() throws Exception {
        pair.a.expect(address -> Optional.of(NodeId.of("gone")));
        assertThat(PeerPair.failure(pair.request(PeerTopic.QUERY, "x"))).isEqualTo(PeerException.Kind.NOT_SENT);
        pair.a.expect(address -> Optional.of(NodeId.of("b")));
        pair.advance(LIMITS.backoffMin());
        assertThat(PeerPair.get(pair.request(PeerTopic.CALL, "x"))).isEqualTo("x");
        assertThat(pair.held).isEmpty();
    }

    @Test
    void aRequestToAPeerWithAnUnsupportedProtocolOrAMalformedIdFailsAsNotSent() throws Exception {
        Hello newer = hello("c").setProtocol(9).setOldestProtocol(9).build();
        assertThat(failureAtPeerThatSends(Frame.newBuilder().setHello(newer).build()))
                .isEqualTo(PeerException.Kind.NOT_SENT);
        assertThat(failureAtPeerThatSends(
                        Frame.newBuilder().setHello(hello("no name!")).build()))
                .isEqualTo(PeerException.Kind.NOT_SENT);
    }

    @Test
    void aConnectionWithoutHelloOrWithInvalidBytesIsClosed() throws Exception {
        try (Socket silent = new Socket(
                        InetAddress.getLoopbackAddress(), pair.b.localAddress().getPort());
                Socket invalid = new Socket(
                        InetAddress.getLoopbackAddress(), pair.b.localAddress().getPort())) {
            invalid.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.UTF_8));
            PeerPair.await(() -> pair.b.stats().connections().size() == 1);
            pair.advance(LIMITS.connectTimeout().plus(TICK));
            PeerPair.await(() -> pair.b.stats().connections().isEmpty());
            assertThat(silent.isConnected()).isTrue();
        }
    }

    private PeerException.Kind failure(InetSocketAddress address) throws Exception {
        return PeerPair.failure(pair.a.request(address, PeerTopic.CALL, PeerPair.text("x"), PeerPair.LONG));
    }

    private static Hello.Builder hello(String node) {
        return Hello.newBuilder()
                .setNode(node)
                .setDataCentre("gent-a")
                .setProtocol(1)
                .setOldestProtocol(1);
    }

    private PeerException.Kind failureAtPeerThatSends(Frame frame) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            CompletableFuture<ByteString> reply =
                    pair.a.request(address, PeerTopic.CALL, PeerPair.text("x"), PeerPair.LONG);
            try (Socket socket = server.accept()) {
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                out.writeInt(frame.getSerializedSize());
                frame.writeTo(out);
                out.flush();
                return PeerPair.failure(reply);
            }
        }
    }
}
