package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.Test;

final class NodePlaceTest {

    /** Guards against a node that cannot start because a listener beside it was given a port found for the node. */
    @Test
    void listenersBesideANodeTakeNoPortOfItsAddress() throws IOException {
        NodePlace place = NodePlace.find(1, 0);
        try (ServerSocket beside = new ServerSocket()) {
            beside.bind(place.anyPortBeside());
            assertThat(List.of(
                            place.requests().getAddress(),
                            place.readiness().getAddress(),
                            place.heartbeats().getAddress(),
                            place.peers().getAddress(),
                            place.proxiedPeers().getAddress()))
                    .doesNotContain(beside.getInetAddress());
        }
    }
}
