package io.beryldock.peer;

import io.beryldock.call.NodeId;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Knows which node should answer at an address, if anyone does. Thread safe, must not block. */
@FunctionalInterface
public interface PeerExpectation {

    Optional<NodeId> nodeAt(InetSocketAddress address);

    /** Takes whichever node answers. */
    static PeerExpectation none() {
        return address -> Optional.empty();
    }
}
