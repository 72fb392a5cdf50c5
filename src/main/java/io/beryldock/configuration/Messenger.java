package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.wire.ConfigurationMessage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Sends configuration messages and reads those of other nodes. Immutable.
 *
 * <p>Every message contains the address of its sender: a node that has just started sends requests to peers whose
 * directory does not list it yet, and would get no reply without the address.
 */
final class Messenger {

    private final ConfigurationTransport transport;
    private final ByteString ip;
    private final int port;

    private Messenger(ConfigurationTransport transport, ByteString ip, int port) {
        this.transport = transport;
        this.ip = ip;
        this.port = port;
    }

    static Messenger of(ConfigurationTransport transport, InetSocketAddress self) {
        return new Messenger(transport, ByteString.copyFrom(self.getAddress().getAddress()), self.getPort());
    }

    void send(InetSocketAddress peer, ConfigurationMessage.Builder message) {
        transport.send(peer, message.setReplyIp(ip).setReplyPort(port).build().toByteString());
    }

    /** A message and the address of its sender. Immutable. */
    record Received(InetSocketAddress from, ConfigurationMessage message) {}

    static Received read(ByteString bytes) throws InvalidProtocolBufferException {
        ConfigurationMessage message = ConfigurationMessage.parseFrom(bytes);
        try {
            InetAddress address = InetAddress.getByAddress(message.getReplyIp().toByteArray());
            return new Received(new InetSocketAddress(address, message.getReplyPort()), message);
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("no address to reply to: " + e.getMessage());
        }
    }
}
