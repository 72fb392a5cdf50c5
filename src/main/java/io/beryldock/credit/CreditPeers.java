package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The other nodes, as far as they give out credits. Thread safe. */
public interface CreditPeers {

    NodeId self();

    /** Nodes of this data centre that may be the home of the service, the first choice first; never empty. */
    ImmutableList<NodeId> homes(ServiceName service);

    /** The first choice of each other data centre. */
    ImmutableList<NodeId> homesElsewhere(ServiceName service);

    /** How many targets of the service there are in this data centre. */
    int targets(ServiceName service);

    /** Asks the node; the future fails when no answer comes within the limit. */
    CompletableFuture<ByteString> ask(NodeId node, ByteString question, Duration limit);
}
