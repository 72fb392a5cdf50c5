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

/** The nodes of the directory, as homes of tasks in their data centres. Thread safe. */
final class DirectoryHomes {

    private final NodeDescriptor self;
    private final Supplier<Directory> directory;
    private final PeerTransport transport;
    private final PeerTopic topic;
    private final PerDirectory<Homes> homes;

    private DirectoryHomes(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport, PeerTopic topic) {
        this.self = self;
        this.directory = directory;
        this.transport = transport;
        this.topic = topic;
        this.homes = new PerDirectory<>(directory, known -> new Homes(known, self));
    }

    /** Homes that are asked on the topic. */
    static DirectoryHomes create(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport, PeerTopic topic) {
        return new DirectoryHomes(self, directory, transport, topic);
    }

    /** The homes by one directory, each worked out when it is first asked for. */
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

    /** Nodes of this data centre that may be the home of the task, the first choice first; never empty. */
    ImmutableList<NodeId> here(String task) {
        return homes.get().here(task);
    }

    /** The first choice of each other data centre. */
    ImmutableList<NodeId> elsewhere(String task) {
        return homes.get().elsewhere(task);
    }

    /** How many nodes there are in all data centres. */
    int nodes() {
        return homes.get().byCentre.size();
    }

    /** Asks the node; the future fails when no answer comes within the limit. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
        return directory
                .get()
                .node(node)
                .map(known -> transport.request(known.peerAddress(), topic, question, limit))
                .orElseGet(() -> CompletableFuture.failedFuture(new PeerException(
                        PeerException.Kind.NOT_SENT, "node " + node + " is not in the directory any more")));
    }
}
