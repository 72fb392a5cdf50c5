package io.beryldock.quota;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.organisation.OrganisationName;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The other nodes, as far as they hand out quotas. Thread safe. */
public interface QuotaPeers {

    NodeId self();

    /** Nodes of this data centre that may be the home of the organisation, the first choice first; never empty. */
    ImmutableList<NodeId> homes(OrganisationName organisation);

    /** The first choice of each other data centre. */
    ImmutableList<NodeId> homesElsewhere(OrganisationName organisation);

    /** How many nodes there are in all data centres. */
    int nodes();

    /** Asks the node; the future fails when no answer comes within the limit. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit);
}
