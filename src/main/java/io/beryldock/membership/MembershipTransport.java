package io.beryldock.membership;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;

/**
 * Sends membership messages to other nodes.
 *
 * <p>Delivery is best effort: a message may be lost, duplicated or reordered. Implementations neither block nor throw.
 * Called on the control thread.
 */
@FunctionalInterface
public interface MembershipTransport {

    void send(InetSocketAddress to, ByteString body);
}
