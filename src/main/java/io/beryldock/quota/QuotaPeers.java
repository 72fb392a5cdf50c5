package io.beryldock.quota;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.organisation.OrganisationName;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Other nodes that take part in granting quotas. Thread safe. */
public interface QuotaPeers {

    NodeId self();

    /** Nodes of this data centre that may act as home node of the organisation, in order of preference; never empty. */
    ImmutableList<NodeId> homes(OrganisationName organisation);

    /** Preferred home node of the organisation in each other data centre. */
    ImmutableList<NodeId> homesElsewhere(OrganisationName organisation);

    /** Number of nodes in all data centres. */
    int nodes();

    /** Sends a question to the node; the future fails when no answer arrives within the limit. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit);
}
