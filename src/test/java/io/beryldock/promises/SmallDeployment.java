package io.beryldock.promises;

import com.google.common.collect.ImmutableList;
import io.beryldock.node.NodeProcess;
import io.beryldock.node.RunningNode;
import io.beryldock.settings.NodeSettings;
import io.beryldock.standin.StandinPlatformServer;
import io.beryldock.standin.StandinTarget;
import io.beryldock.standin.StandinTargetSettings;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** Two nodes in two data centres, a target of lists and one of orders, and a platform store, all on loopback. */
final class SmallDeployment implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int SLOTS = 10;

    private final Deque<AutoCloseable> closing = new ArrayDeque<>();
    private final StandinPlatformServer platform;
    private final RunningNode gentA;
    private final RunningNode gentB;
    private final StandinTarget lists;
    private final StandinTarget orders;

    SmallDeployment() throws Exception {
        platform = opened(StandinPlatformServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        gentA = opened(NodeProcess.start(settings("node-a", "gent-a", ImmutableList.of())));
        String seed = LOOPBACK + ":" + gentA.peersAddress().getPort();
        gentB = opened(NodeProcess.start(settings("node-b", "gent-b", ImmutableList.of(seed))));
        lists = opened(StandinTarget.start(target("lists", gentA)));
        orders = opened(StandinTarget.start(target("orders", gentB)));
    }

    private <T extends AutoCloseable> T opened(T part) {
        closing.push(part);
        return part;
    }

    private NodeSettings settings(String id, String dataCentre, ImmutableList<String> seeds) {
        NodeSettings.Listener free = new NodeSettings.Listener(LOOPBACK, 0);
        return new NodeSettings(
                id,
                dataCentre,
                "vandermeulen",
                free,
                free,
                new NodeSettings.Peers(LOOPBACK, 0, null, true),
                new NodeSettings.Admin(LOOPBACK, 0, null),
                seeds,
                new NodeSettings.Platform(platform.uri().toString()),
                NodeSettings.Policy.FULL,
                NodeSettings.Limits.defaults());
    }

    private static StandinTargetSettings target(String service, RunningNode node) {
        return StandinTargetSettings.of(service, SLOTS, ServiceTime.fixed(1))
                .withNode("http://" + LOOPBACK + ":" + node.loopbackAddress().getPort());
    }

    StandinPlatformServer platform() {
        return platform;
    }

    RunningNode gentA() {
        return gentA;
    }

    RunningNode gentB() {
        return gentB;
    }

    StandinTarget lists() {
        return lists;
    }

    StandinTarget orders() {
        return orders;
    }

    @Override
    public void close() throws Exception {
        while (!closing.isEmpty()) {
            closing.pop().close();
        }
    }
}
