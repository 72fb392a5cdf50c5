package io.beryldock.membership;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;

/**
 * Sends the messages of membership to other nodes.
 *
 * <p>Best effort: a message may be lost, doubled or reordered. Never blocks, never fails. Called on the control thread.
 */
@FunctionalInterface
public interface MembershipTransport {

    void send(InetSocketAddress to, ByteString body);
}
