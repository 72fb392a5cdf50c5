package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.http.ServerStartException;
import io.beryldock.measure.Topology.Service;
import io.beryldock.node.NodeProcess;
import io.beryldock.node.RunningNode;
import io.beryldock.node.SharedResources;
import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SettingsException;
import io.beryldock.standin.StandinException;
import io.beryldock.standin.StandinPlatformServer;
import io.beryldock.standin.StandinResources;
import io.beryldock.standin.StandinTarget;
import io.beryldock.standin.StandinTargetSettings;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Real nodes with stand-in targets and platform in one process, all on loopback sockets.
 *
 * <p>Started and closed by one thread; thread safe between. Each target has a node of its own, as in its VM.
 */
final class ScenarioCluster implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int IO_THREADS = 3;
    private static final int CONNECTIONS = 8000;
    private static final int SEEDS = 2;
    private static final String LOOPBACK = "127.0.0.1";

    private final StandinResources standins;
    private final SharedResources shared;
    private final StandinPlatformServer platform;
    private final List<RunningNode> nodes = new ArrayList<>();
    private final List<Placed> targets = new ArrayList<>();

    private record Placed(String service, StandinTarget target) {}

    private ScenarioCluster(StandinResources standins, SharedResources shared, StandinPlatformServer platform) {
        this.standins = standins;
        this.shared = shared;
        this.platform = platform;
    }

    static ScenarioCluster start(Topology topology, NodeSettings.Policy policy, long seed)
            throws StandinException, SettingsException, PeerStartException, ServerStartException, InterruptedException {
        StandinResources standins = StandinResources.start();
        SharedResources shared = SharedResources.start(IO_THREADS, CONNECTIONS);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ScenarioCluster cluster = new ScenarioCluster(standins, shared, StandinPlatformServer.start(any, standins));
        try {
            cluster.startAll(topology, policy, seed);
            return cluster;
        } catch (StandinException | SettingsException | PeerStartException | ServerStartException e) {
            cluster.close();
            throw e;
        }
    }

    private void startAll(Topology topology, NodeSettings.Policy policy, long seed)
            throws StandinException, SettingsException, PeerStartException, ServerStartException, InterruptedException {
        for (Service service : topology.services()) {
            for (int i = 0; i < service.instances(); i++) {
                String dataCentre =
                        topology.dataCentres().get(i % topology.dataCentres().size());
                String id = dataCentre + "-" + service.name() + "-" + i;
                RunningNode node = NodeProcess.start(nodeSettings(topology, policy, id, dataCentre), shared);
                nodes.add(node);
                StandinTargetSettings settings = targetSettings(service, node, policy, seed + nodes.size());
                targets.add(new Placed(service.name(), StandinTarget.start(settings, standins)));
            }
        }
    }

    private NodeSettings nodeSettings(Topology topology, NodeSettings.Policy policy, String id, String dataCentre) {
        ImmutableList<String> seeds = nodes.stream()
                .limit(SEEDS)
                .map(node -> LOOPBACK + ":" + node.peersAddress().getPort())
                .collect(ImmutableList.toImmutableList());
        return new NodeSettings(
                id,
                dataCentre,
                topology.deployment(),
                new NodeSettings.Listener(LOOPBACK, 0),
                new NodeSettings.Listener(LOOPBACK, 0),
                new NodeSettings.Peers(LOOPBACK, 0, null, true),
                new NodeSettings.Admin(LOOPBACK, 0, null),
                seeds,
                new NodeSettings.Platform(platform.uri().toString()),
                policy,
                NodeSettings.Limits.defaults());
    }

    private static StandinTargetSettings targetSettings(
            Service service, RunningNode node, NodeSettings.Policy policy, long seed) {
        ServiceTime time = new ServiceTime(service.distribution(), service.millis());
        return StandinTargetSettings.of(service.name(), service.slots(), time)
                .withNode("http://" + LOOPBACK + ":" + node.loopbackAddress().getPort())
                .withInnerCalls(service.innerCalls())
                .withAcceptsDeadlines(policy == NodeSettings.Policy.FULL)
                .withSeed(seed);
    }

    /** Callers' listeners of all nodes. */
    ImmutableList<InetSocketAddress> entries() {
        return nodes.stream().map(RunningNode::callersAddress).collect(ImmutableList.toImmutableList());
    }

    ImmutableList<RunningNode> nodes() {
        return ImmutableList.copyOf(nodes);
    }

    ImmutableList<StandinTarget> targets() {
        return targets.stream().map(Placed::target).collect(ImmutableList.toImmutableList());
    }

    /** The service's targets; all targets when the name is null. */
    ImmutableList<StandinTarget> targetsOf(String service) {
        return targets.stream()
                .filter(placed -> service == null || placed.service().equals(service))
                .map(Placed::target)
                .collect(ImmutableList.toImmutableList());
    }

    StandinPlatformServer platform() {
        return platform;
    }

    StandinResources resources() {
        return standins;
    }

    @Override
    public void close() {
        targets.forEach(placed -> closeLogged(placed.target()::close));
        nodes.forEach(node -> closeLogged(node::close));
        closeLogged(platform::close);
        closeLogged(shared::close);
        closeLogged(standins::close);
    }

    /** A part that does not stop cleanly must not cost the figures of the run, nor keep the rest running. */
    private static void closeLogged(Runnable close) {
        try {
            close.run();
        } catch (IllegalStateException e) {
            log.atWarning().withCause(e).log("a part of the measured deployment did not stop cleanly");
        }
    }
}
