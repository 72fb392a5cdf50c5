package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Other nodes that take part in the allocation of credits. Thread safe. */
public interface CreditPeers {

    NodeId self();

    /** Nodes of this data centre that may act as home node of the service, in order of preference; never empty. */
    ImmutableList<NodeId> homes(ServiceName service);

    /** Preferred home node of the service in each other data centre. */
    ImmutableList<NodeId> homesElsewhere(ServiceName service);

    /** Number of targets of the service in this data centre. */
    int targets(ServiceName service);

    /** Sends a question to the node; the future fails when no answer arrives within the limit. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit);
}
