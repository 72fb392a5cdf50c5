package io.beryldock.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.QuarantineDelta;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Nodes exchange deltas of suspects over links that reorder, repeat and lose messages. If two nodes came to different
 * verdicts from the same deltas, a request refused at one node would crash the target of the other.
 */
class QuarantineMergePropertyTest {

    private static final int NODES = 4;
    private static final List<Fingerprint> REQUESTS = IntStream.range(0, 5)
            .mapToObj(i -> QuarantineTest.request("GET", "/holdings/" + i))
            .toList();

    private final ManualTimerService time = ManualTimerService.create();
    private final List<Quarantine> nodes = new ArrayList<>();

    private void create() {
        nodes.clear();
        for (int i = 0; i < NODES; i++) {
            nodes.add(Quarantine.create(
                    QuarantineTest.node("n" + i), time.ticker(), QuarantineSettings.defaults(), EventSink.none()));
        }
    }

    private static Fingerprint anyRequest(Random random) {
        return REQUESTS.get(random.nextInt(REQUESTS.size()));
    }

    private List<QuarantineDelta> randomDeltas(Random random) {
        List<QuarantineDelta> deltas = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Quarantine node = nodes.get(random.nextInt(NODES));
            Fingerprint request = anyRequest(random);
            switch (random.nextInt(6)) {
                case 0 -> node.onTargetCrashed(List.of(request, anyRequest(random)));
                case 1 -> node.onStarted(request);
                case 2 -> node.onCompleted(request);
                case 3 -> node.onNodeLost(request, QuarantineTest.node("x" + random.nextInt(2)), random.nextBoolean());
                case 4 -> node.onNodeFailed(QuarantineTest.node("x" + random.nextInt(2)));
                default -> node.merge(nodes.get(random.nextInt(NODES)).export());
            }
            deltas.add(node.takeChanges());
        }
        nodes.forEach(node -> deltas.add(node.export()));
        return deltas;
    }

    @Property(tries = 500)
    void nodesWithTheSameDeltasAgree(@ForAll long seed) {
        create();
        Random random = new Random(seed);
        List<QuarantineDelta> deltas = randomDeltas(random);
        for (Quarantine node : nodes) {
            List<QuarantineDelta> order = new ArrayList<>(deltas);
            order.addAll(deltas.subList(0, deltas.size() / 2));
            Collections.shuffle(order, random);
            order.forEach(node::merge);
        }
        for (Fingerprint request : REQUESTS) {
            assertThat(nodes)
                    .allMatch(node -> node.verdict(request) == nodes.get(0).verdict(request));
        }
        time.advance(Duration.ofMinutes(10));
        assertThat(nodes).allMatch(node -> node.snapshot().equals(nodes.get(0).snapshot()));
    }

    /** Guards against entries that outlive their duration because nodes pass deltas back and forth with a delay. */
    @Property(tries = 50)
    void echoesDoNotProlongAnEntry(@ForAll long seed) {
        create();
        Random random = new Random(seed);
        nodes.get(0).onTargetCrashed(List.of(REQUESTS.get(0)));
        QuarantineDelta inTransit = nodes.get(0).export();
        Duration bound = QuarantineSettings.defaults().length().plusSeconds(5);
        long end = time.ticker().nanos() + bound.toNanos();
        while (time.ticker().nanos() < end) {
            time.advance(Duration.ofMillis(500 + random.nextInt(500)));
            Quarantine node = nodes.get(random.nextInt(NODES));
            node.merge(inTransit);
            inTransit = node.export();
            nodes.forEach(Quarantine::expire);
        }
        assertThat(nodes).allMatch(node -> node.verdict(REQUESTS.get(0)) == Verdict.FREE);
    }
}
