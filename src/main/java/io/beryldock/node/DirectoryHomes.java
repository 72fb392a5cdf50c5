package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Selects the home node of a task in each data centre from the nodes of the directory. Thread safe. */
final class DirectoryHomes {

    private final NodeDescriptor self;
    private final Supplier<Directory> directory;
    private final PeerTransport transport;
    private final PeerTopic topic;
    private final DirectoryCache<Homes> homes;

    private DirectoryHomes(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport, PeerTopic topic) {
        this.self = self;
        this.directory = directory;
        this.transport = transport;
        this.topic = topic;
        this.homes = new DirectoryCache<>(directory, known -> new Homes(known, self));
    }

    /** Creates a selector whose requests to home nodes are sent on the topic. */
    static DirectoryHomes create(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport, PeerTopic topic) {
        return new DirectoryHomes(self, directory, transport, topic);
    }

    /** The home nodes according to one directory, computed on first use. */
    private static final class Homes {
        private final DataCentre own;
        private final ImmutableListMultimap<DataCentre, NodeId> byCentre;
        private final Map<String, ImmutableList<NodeId>> here = new ConcurrentHashMap<>();
        private final Map<String, ImmutableList<NodeId>> elsewhere = new ConcurrentHashMap<>();

        Homes(Directory directory, NodeDescriptor self) {
            this.own = self.dataCentre();
            ImmutableListMultimap.Builder<DataCentre, NodeId> nodes = ImmutableListMultimap.builder();
            if (directory.node(self.id()).isEmpty()) {
                nodes.put(own, self.id());
            }
            directory.nodes().values().forEach(node -> nodes.put(node.dataCentre(), node.id()));
            this.byCentre = nodes.build();
        }

        ImmutableList<NodeId> here(String task) {
            return here.computeIfAbsent(task, name -> NodeRanking.of(byCentre.get(own), name));
        }

        ImmutableList<NodeId> elsewhere(String task) {
            return elsewhere.computeIfAbsent(
                    task,
                    name -> byCentre.asMap().entrySet().stream()
                            .filter(centre -> !centre.getKey().equals(own))
                            .map(centre ->
                                    NodeRanking.of(centre.getValue(), name).get(0))
                            .collect(ImmutableList.toImmutableList()));
        }
    }

    NodeDescriptor self() {
        return self;
    }

    Directory directory() {
        return directory.get();
    }

    /** The nodes of this data centre in order of preference as the home of the task; never empty. */
    ImmutableList<NodeId> here(String task) {
        return homes.get().here(task);
    }

    /** The preferred home of the task in each of the other data centres. */
    ImmutableList<NodeId> elsewhere(String task) {
        return homes.get().elsewhere(task);
    }

    /** The number of nodes in all data centres. */
    int nodes() {
        return homes.get().byCentre.size();
    }

    /** Sends a request to the node; the future fails if no response arrives within the limit. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
        return directory
                .get()
                .node(node)
                .map(known -> transport.request(known.peerAddress(), topic, question, limit))
                .orElseGet(() -> CompletableFuture.failedFuture(new PeerException(
                        PeerException.Kind.NOT_SENT, "node " + node + " is no longer in the directory")));
    }
}
