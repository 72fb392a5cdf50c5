package io.beryldock.command;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.membership.Directory;
import io.beryldock.peer.PeerTransport;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import io.beryldock.timeline.RefusalCounter;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * What a node lends to its operator service. Immutable.
 *
 * @param directory the latest picture of nodes and targets
 * @param configuration in force at this node, with its last changes
 * @param target the target in this node's VM
 * @param events the event ring of this node, with its clock
 * @param refusals counts of the requests that this node refused
 * @param random picks the nodes that are asked for their data centre
 */
public record OperatorPorts(
        NodeId self,
        DataCentre dataCentre,
        Supplier<Directory> directory,
        PeerTransport transport,
        NodeInspector inspector,
        ActiveConfiguration configuration,
        ConfigurationChanger changer,
        InForceCheck inForce,
        LocalTarget target,
        EventRing events,
        RefusalCounter refusals,
        TimerService timer,
        RandomGenerator random) {}
