package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import java.net.InetSocketAddress;

/** One start of one node and where its peers reach it. Immutable. */
public record NodeDescriptor(
        NodeId id, Incarnation incarnation, DataCentre dataCentre, InetSocketAddress peerAddress) {}
