package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.wire.ConfigurationMessage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Sends the messages of the configuration and reads those of others. Immutable.
 *
 * <p>Every message says where its sender is reached: a node that has just started asks peers whose directory does not
 * have it yet, and without the address it would get no answer.
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

    /** A message and where its sender is reached. Immutable. */
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
