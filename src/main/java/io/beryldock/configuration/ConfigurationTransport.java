package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;

/** Sends one-way configuration messages to other nodes; a message may be lost, duplicated or delayed. */
@FunctionalInterface
public interface ConfigurationTransport {

    void send(InetSocketAddress peer, ByteString message);
}
