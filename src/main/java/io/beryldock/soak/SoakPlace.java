package io.beryldock.soak;

import io.beryldock.soak.FaultAction.Link;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/** A node, its target and the proxies on its links. Thread safe; closed once. */
final class SoakPlace implements AutoCloseable {

    private final NodePlace place;
    private final InetSocketAddress announced;
    private final FaultProxy peers;
    private final FaultProxy store;
    private final FaultProxy target;
    private final FaultProxy readiness;
    private final SoakNode node;

    private SoakPlace(
            NodePlace place,
            FaultProxy peers,
            FaultProxy store,
            FaultProxy target,
            FaultProxy readiness,
            SoakNode node) {
        this.place = place;
        this.announced = target.address();
        this.peers = peers;
        this.store = store;
        this.target = target;
        this.readiness = readiness;
        this.node = node;
    }

    /** Starts the target and the proxies; the node is not started yet. */
    static SoakPlace prepare(
            NodePlace place,
            Surroundings surroundings,
            Surroundings.TargetEvents events,
            SoakBounds bounds,
            Path directory)
            throws IOException, InterruptedException {
        FaultProxy peers = FaultProxy.start(place.proxiedPeers(), place.peers());
        FaultProxy store = FaultProxy.start(place.anyPortBeside(), surroundings.store());
        InetSocketAddress running = surroundings.startTarget(place, events);
        FaultProxy target = FaultProxy.start(place.anyPortBeside(), running);
        FaultProxy readiness = FaultProxy.start(place.anyPortBeside(), place.readiness());
        String settings = surroundings.settings(place, store.address(), bounds);
        return new SoakPlace(place, peers, store, target, readiness, SoakNode.create(place, settings, directory));
    }

    int number() {
        return place.number();
    }

    NodePlace place() {
        return place;
    }

    SoakNode node() {
        return node;
    }

    /** Where the target is reached by its node. */
    InetSocketAddress announced() {
        return announced;
    }

    /** Where the node tells its readiness, through a proxy that is never harmed but runs as the others do. */
    InetSocketAddress readiness() {
        return readiness.address();
    }

    void set(Link link, LinkState state) {
        proxy(link).set(state);
    }

    /** Ends a fault of the link. */
    void heal(Link link, LinkState state) {
        proxy(link).heal(state);
    }

    private FaultProxy proxy(Link link) {
        return switch (link) {
            case PEERS -> peers;
            case STORE -> store;
            case TARGET -> target;
            case NONE -> throw new IllegalArgumentException("no link is meant");
        };
    }

    @Override
    public void close() {
        node.close();
        peers.close();
        store.close();
        target.close();
        readiness.close();
    }
}
