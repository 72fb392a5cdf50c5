package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.store.PlatformException;
import io.beryldock.store.StorePeers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Selects from the directory the peers with which this node shares the contents of the store. Thread safe. */
public final class DirectoryPeers implements StorePeers {

    /** Request time-out; shorter than the interval of one second between two requests. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

    private final Supplier<Directory> directory;
    private final PeerTransport transport;
    private final RandomGenerator random;
    private final DirectoryCache<Split> split;

    private DirectoryPeers(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport, RandomGenerator random) {
        this.directory = directory;
        this.transport = transport;
        this.random = random;
        this.split = new DirectoryCache<>(directory, known -> Split.of(known, self));
    }

    public static DirectoryPeers create(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport, RandomGenerator random) {
        return new DirectoryPeers(self, directory, transport, random);
    }

    /** The nodes of one directory, divided into those of this data centre and the others. Immutable. */
    private record Split(ImmutableSet<NodeId> own, ImmutableList<NodeId> others) {

        static Split of(Directory directory, NodeDescriptor self) {
            ImmutableSet.Builder<NodeId> own = ImmutableSet.builder();
            ImmutableList.Builder<NodeId> others = ImmutableList.builder();
            own.add(self.id());
            for (NodeDescriptor node : directory.nodes().values()) {
                if (node.dataCentre().equals(self.dataCentre())) {
                    own.add(node.id());
                } else {
                    others.add(node.id());
                }
            }
            return new Split(own.build(), others.build());
        }
    }

    @Override
    public ImmutableSet<NodeId> ownDataCentre() {
        return split.get().own();
    }

    @Override
    public Optional<NodeId> randomRemoteNode() {
        List<NodeId> others = split.get().others();
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    @Override
    public CompletableFuture<ByteString> ask(NodeId node, ByteString question) {
        return directory
                .get()
                .node(node)
                .map(known -> transport.request(known.peerAddress(), PeerTopic.STORE, question, REQUEST_TIMEOUT))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new PlatformException("node " + node + " is no longer in the directory")));
    }

    @Override
    public void send(NodeId node, ByteString message) {
        directory.get().node(node).ifPresent(known -> transport.send(known.peerAddress(), PeerTopic.STORE, message));
    }
}
