package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quota.QuotaPeers;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The nodes of the directory, as homes of quotas. Thread safe. */
public final class DirectoryQuotaPeers implements QuotaPeers {

    private final NodeDescriptor self;
    private final Supplier<Directory> directory;
    private final PeerTransport transport;
    private final PerDirectory<Homes> homes;

    private DirectoryQuotaPeers(NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport) {
        this.self = self;
        this.directory = directory;
        this.transport = transport;
        this.homes = new PerDirectory<>(directory, known -> new Homes(known, self));
    }

    public static DirectoryQuotaPeers create(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport) {
        return new DirectoryQuotaPeers(self, directory, transport);
    }

    /** The homes by one directory, each worked out when it is first asked for. */
    private static final class Homes {
        private final DataCentre own;
        private final ImmutableListMultimap<DataCentre, NodeId> byCentre;
        private final Map<OrganisationName, ImmutableList<NodeId>> here = new ConcurrentHashMap<>();
        private final Map<OrganisationName, ImmutableList<NodeId>> elsewhere = new ConcurrentHashMap<>();

        Homes(Directory directory, NodeDescriptor self) {
            this.own = self.dataCentre();
            ImmutableListMultimap.Builder<DataCentre, NodeId> nodes = ImmutableListMultimap.builder();
            if (directory.node(self.id()).isEmpty()) {
                nodes.put(own, self.id());
            }
            directory.nodes().values().forEach(node -> nodes.put(node.dataCentre(), node.id()));
            this.byCentre = nodes.build();
        }

        ImmutableList<NodeId> here(OrganisationName organisation) {
            return here.computeIfAbsent(organisation, name -> NodeRanking.of(byCentre.get(own), name.value()));
        }

        ImmutableList<NodeId> elsewhere(OrganisationName organisation) {
            return elsewhere.computeIfAbsent(
                    organisation,
                    name -> byCentre.asMap().entrySet().stream()
                            .filter(centre -> !centre.getKey().equals(own))
                            .map(centre -> NodeRanking.of(centre.getValue(), name.value())
                                    .get(0))
                            .collect(ImmutableList.toImmutableList()));
        }
    }

    @Override
    public NodeId self() {
        return self.id();
    }

    @Override
    public ImmutableList<NodeId> homes(OrganisationName organisation) {
        return homes.get().here(organisation);
    }

    @Override
    public ImmutableList<NodeId> homesElsewhere(OrganisationName organisation) {
        return homes.get().elsewhere(organisation);
    }

    @Override
    public int nodes() {
        return homes.get().byCentre.size();
    }

    @Override
    public CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
        return directory
                .get()
                .node(node)
                .map(known -> transport.request(known.peerAddress(), PeerTopic.QUOTA, question, limit))
                .orElseGet(() -> CompletableFuture.failedFuture(new PeerException(
                        PeerException.Kind.NOT_SENT, "node " + node + " is not in the directory any more")));
    }
}
