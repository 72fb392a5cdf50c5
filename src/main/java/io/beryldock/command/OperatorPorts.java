package io.beryldock.command;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.peer.PeerTransport;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import java.util.function.Supplier;

/**
 * What a node lends to its operator service. Immutable.
 *
 * @param directory the latest picture of nodes and targets, this node among them
 * @param events the event ring of this node, with its clock
 */
public record OperatorPorts(
        NodeId self,
        DataCentre dataCentre,
        Supplier<Directory> directory,
        PeerTransport transport,
        NodeInspector inspector,
        ConfigurationChanger changer,
        LocalTarget target,
        EventRing events,
        TimerService timer) {}
