package io.beryldock.forwarding;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses addresses of the form IP:PORT, without name resolution. Stateless. */
public final class Addresses {

    private Addresses() {}

    /** Parses IP:PORT; throws {@link IllegalArgumentException} when malformed. */
    public static InetSocketAddress parse(String text) {
        HostAndPort parts = HostAndPort.fromString(text);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }
}
