package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quota.QuotaPeers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Selects from the directory the home nodes of organisations for the quota system. Thread safe. */
public final class DirectoryQuotaPeers implements QuotaPeers {

    private final DirectoryHomes homes;

    private DirectoryQuotaPeers(DirectoryHomes homes) {
        this.homes = homes;
    }

    public static DirectoryQuotaPeers create(
            NodeDescriptor self, Supplier<Directory> directory, PeerTransport transport) {
        return new DirectoryQuotaPeers(DirectoryHomes.create(self, directory, transport, PeerTopic.QUOTA));
    }

    @Override
    public NodeId self() {
        return homes.self().id();
    }

    @Override
    public ImmutableList<NodeId> homes(OrganisationName organisation) {
        return homes.here(organisation.value());
    }

    @Override
    public ImmutableList<NodeId> homesElsewhere(OrganisationName organisation) {
        return homes.elsewhere(organisation.value());
    }

    @Override
    public int nodes() {
        return homes.nodes();
    }

    @Override
    public CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit) {
        return homes.ask(node, question, limit);
    }
}
