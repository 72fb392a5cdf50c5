package io.beryldock.peer;

import io.beryldock.call.NodeId;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Returns the node that is expected at an address.
 *
 * <p>Implementations are thread safe and must not block.
 */
@FunctionalInterface
public interface PeerExpectation {

    /** Returns the expected node; empty if any node is accepted at the address. */
    Optional<NodeId> nodeAt(InetSocketAddress address);

    /** Returns an expectation that accepts any node at each address. */
    static PeerExpectation none() {
        return address -> Optional.empty();
    }
}
