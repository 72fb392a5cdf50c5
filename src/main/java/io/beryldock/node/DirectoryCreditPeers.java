package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.credit.CreditPeers;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetState;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Selects from the directory the home nodes of services for the credit system. Thread safe. */
final class DirectoryCreditPeers implements CreditPeers {

    private final DirectoryHomes homes;

    private DirectoryCreditPeers(DirectoryHomes homes) {
        this.homes = homes;
    }

    static DirectoryCreditPeers create(NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport) {
        return new DirectoryCreditPeers(DirectoryHomes.create(self, directory, transport, PeerTopic.CREDIT));
    }

    @Override
    public NodeId self() {
        return homes.self().id();
    }

    @Override
    public ImmutableList<NodeId> homes(ServiceName service) {
        return homes.here(service.value());
    }

    @Override
    public ImmutableList<NodeId> homesElsewhere(ServiceName service) {
        return homes.elsewhere(service.value());
    }

    @Override
    public int targets(ServiceName service) {
        DataCentre own = homes.self().dataCentre();
        return (int) homes.directory().targetsOf(service).stream()
                .filter(target -> target.state() == TargetState.READY)
                .filter(target -> target.node().dataCentre().equals(own))
                .count();
    }

    @Override
    public CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
        return homes.ask(node, question, limit);
    }
}
