package io.beryldock.promises;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Stopwatch;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.beryldock.node.NodeProcess;
import io.beryldock.node.RunningNode;
import io.beryldock.settings.NodeSettings;
import io.beryldock.standin.StandinTarget;
import io.beryldock.standin.StandinTargetSettings;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A service with several targets, each started again at once after a crash. */
class CrashingRequestTest {

    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final String LOOPBACK = "127.0.0.1";
    private static final String POISON = "/lists/poison";
    private static final int TARGETS = 4;
    private static final int SLOTS = 10;

    private final HttpClient client = HttpClient.newHttpClient();
    private final Deque<AutoCloseable> closing = new ArrayDeque<>();
    private final List<RunningNode> nodes = new ArrayList<>();
    private final List<TargetSupervisor> supervisors = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < TARGETS; i++) {
            RunningNode node = opened(NodeProcess.start(settings("node-" + i)));
            nodes.add(node);
            StandinTarget target = opened(StandinTarget.start(target(node)));
            target.setFaults(target.faults().withCrashMarker("poison"));
            supervisors.add(opened(TargetSupervisor.start(target)));
        }
        for (RunningNode node : nodes) {
            askUntil(node, "/lists/ready", body -> body.contains("echo"));
            await(() -> node.knownTargets("lists") == TARGETS);
        }
    }

    private <T extends AutoCloseable> T opened(T part) {
        closing.push(part);
        return part;
    }

    @AfterEach
    void close() throws Exception {
        while (!closing.isEmpty()) {
            closing.pop().close();
        }
    }

    private NodeSettings settings(String id) {
        NodeSettings.Listener free = new NodeSettings.Listener(LOOPBACK, 0);
        ImmutableList<String> seeds = nodes.isEmpty()
                ? ImmutableList.of()
                : ImmutableList.of(LOOPBACK + ":" + nodes.get(0).peersAddress().getPort());
        return new NodeSettings(
                id,
                "gent-a",
                "vandermeulen",
                free,
                free,
                new NodeSettings.Peers(LOOPBACK, 0, null, true),
                new NodeSettings.Admin(LOOPBACK, 0, null),
                seeds,
                null,
                NodeSettings.Policy.FULL,
                NodeSettings.Limits.defaults());
    }

    private static StandinTargetSettings target(RunningNode node) {
        return StandinTargetSettings.of("lists", SLOTS, ServiceTime.fixed(1))
                .withNode("http://" + LOOPBACK + ":" + node.loopbackAddress().getPort());
    }

    private void askUntil(RunningNode node, String path, Predicate<String> fits) throws Exception {
        await(() -> fits.test(ask(node, path)));
    }

    /** Waits for what must come; only a fault makes it wait until its patience ends. */
    private static void await(Callable<Boolean> condition) throws Exception {
        Stopwatch waited = Stopwatch.createStarted();
        while (!condition.call()) {
            assertThat(waited.elapsed()).as("time waited").isLessThan(PATIENCE);
            Thread.onSpinWait();
        }
    }

    private String ask(RunningNode node, String path) throws Exception {
        URI uri = URI.create("http://" + LOOPBACK + ":" + node.callersAddress().getPort() + path);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(PATIENCE).build();
        return client.send(request, BodyHandlers.ofString()).body();
    }

    /** Asks the nodes in turn, each as soon as the one before has answered. */
    private void askAllUntilRefused() throws Exception {
        Iterator<RunningNode> next = Iterables.cycle(nodes).iterator();
        await(() -> ask(next.next(), POISON).contains("QUARANTINED"));
    }

    private int crashes() {
        return supervisors.stream().mapToInt(TargetSupervisor::restarts).sum();
    }

    /** Guards against a node that hands a request which took a target down to the next one, and the next. */
    @Test
    void aRequestTakesDownTwoTargetsAtMost() throws Exception {
        askUntil(nodes.get(0), POISON, body -> body.contains("QUARANTINED"));
        assertThat(crashes()).isBetween(1, 2);
    }

    /** Guards against news of a crash that are slower than a caller who asks the next node. */
    @Test
    void aCallerWhoAsksOneNodeAfterTheOtherTakesDownTwoTargetsAtMost() throws Exception {
        askAllUntilRefused();
        assertThat(crashes()).isBetween(1, 2);
    }
}
