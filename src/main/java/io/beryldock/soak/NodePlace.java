package io.beryldock.soak;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Where a node and its target are. Immutable.
 *
 * @param number from 0
 * @param peers where its process takes connections of other nodes
 * @param proxiedPeers where others are told that it does
 */
public record NodePlace(
        int number,
        String service,
        InetSocketAddress requests,
        InetSocketAddress readiness,
        InetSocketAddress heartbeats,
        InetSocketAddress peers,
        InetSocketAddress proxiedPeers) {

    private static final int LISTENERS = 5;
    private static final int OCTET = 256;

    /** First octets: loopback, apart from 127.0.0.1, from which all connections of this host begin. */
    private static final String LOOPBACK_PART = "127.77.";

    /** A place on an address of its own, so that no port of it is taken by a connection in the meantime. */
    static NodePlace find(long run, int number) throws IOException {
        String address = LOOPBACK_PART + Math.floorMod(run, OCTET) + "." + (number + 1);
        String service = number % 2 == 0 ? Use.BROWSE.service() : Use.ORDER.service();
        List<InetSocketAddress> free = free(address, LISTENERS);
        return new NodePlace(number, service, free.get(0), free.get(1), free.get(2), free.get(3), free.get(4));
    }

    /**
     * Where listeners beside the node's process bind any free port. Not on the place's own address: the ports found for
     * the process are free until it binds them.
     */
    public InetSocketAddress anyPortBeside() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Name of the node. */
    public String name() {
        return "soak-node-" + number;
    }

    /** All are bound before one is freed, so that none is found twice. */
    private static List<InetSocketAddress> free(String address, int number) throws IOException {
        List<InetSocketAddress> free = new ArrayList<>();
        try (Closer bound = Closer.create()) {
            for (int i = 0; i < number; i++) {
                ServerSocket socket = bound.register(new ServerSocket(0, 1, InetAddress.getByName(address)));
                free.add(new InetSocketAddress(address, socket.getLocalPort()));
            }
        }
        return free;
    }
}
