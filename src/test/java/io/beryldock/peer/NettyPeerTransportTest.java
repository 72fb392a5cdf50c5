package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class NettyPeerTransportTest {

    private static NettyPeerTransport start(String name) throws PeerStartException {
        PeerIdentity self =
                PeerIdentity.of(NodeId.of(name), DataCentre.of("gent-a"), new Incarnation(1, name.hashCode()));
        InetSocketAddress bind = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        NettyPeerTransport transport = NettyPeerTransport.create(
                PeerTransportSettings.insecure(bind), self, ManualTimerService.create(), EventSink.none());
        transport.handle(
                PeerTopic.CALL,
                message ->
                        message.reply(ByteString.copyFromUtf8(message.sender()).concat(message.body())));
        transport.start();
        return transport;
    }

    @Test
    void aRequestIsAnsweredByTheHandlerOfItsTopic() throws Exception {
        try (NettyPeerTransport a = start("a");
                NettyPeerTransport b = start("b")) {
            ByteString reply = a.request(
                            b.localAddress(), PeerTopic.CALL, ByteString.copyFromUtf8(" asks"), Duration.ofSeconds(5))
                    .get(10, TimeUnit.SECONDS);
            assertThat(reply.toStringUtf8()).isEqualTo("a asks");
        }
    }
}
