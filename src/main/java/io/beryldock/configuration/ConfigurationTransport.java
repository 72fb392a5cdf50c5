package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;

/** Sends one-way messages about the configuration to other nodes; a message may be lost, doubled or late. */
@FunctionalInterface
public interface ConfigurationTransport {

    void send(InetSocketAddress peer, ByteString message);
}
