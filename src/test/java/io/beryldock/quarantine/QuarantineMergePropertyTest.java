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
 * Nodes tell each other of suspects over links that reorder, repeat and lose messages. If two nodes came to different
 * ends from the same news, a request refused at one would crash the target of the other.
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

    private static Fingerprint any(Random random) {
        return REQUESTS.get(random.nextInt(REQUESTS.size()));
    }

    private List<QuarantineDelta> randomNews(Random random) {
        List<QuarantineDelta> news = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Quarantine node = nodes.get(random.nextInt(NODES));
            Fingerprint request = any(random);
            switch (random.nextInt(6)) {
                case 0 -> node.onTargetCrashed(List.of(request, any(random)));
                case 1 -> node.onStarted(request);
                case 2 -> node.onCompleted(request);
                case 3 -> node.onNodeLost(request, QuarantineTest.node("x" + random.nextInt(2)), random.nextBoolean());
                case 4 -> node.onNodeFailed(QuarantineTest.node("x" + random.nextInt(2)));
                default -> node.merge(nodes.get(random.nextInt(NODES)).export());
            }
            news.add(node.takeChanges());
        }
        nodes.forEach(node -> news.add(node.export()));
        return news;
    }

    @Property(tries = 500)
    void nodesThatHeardTheSameAgree(@ForAll long seed) {
        create();
        Random random = new Random(seed);
        List<QuarantineDelta> news = randomNews(random);
        for (Quarantine node : nodes) {
            List<QuarantineDelta> order = new ArrayList<>(news);
            order.addAll(news.subList(0, news.size() / 2));
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

    /** Passing news to and fro takes time; it must not keep an entry alive beyond its length. */
    @Property(tries = 50)
    void echoesDoNotProlongAnEntry(@ForAll long seed) {
        create();
        Random random = new Random(seed);
        nodes.get(0).onTargetCrashed(List.of(REQUESTS.get(0)));
        QuarantineDelta underWay = nodes.get(0).export();
        Duration bound = QuarantineSettings.defaults().length().plusSeconds(5);
        long end = time.ticker().nanos() + bound.toNanos();
        while (time.ticker().nanos() < end) {
            time.advance(Duration.ofMillis(500 + random.nextInt(500)));
            Quarantine node = nodes.get(random.nextInt(NODES));
            node.merge(underWay);
            underWay = node.export();
            nodes.forEach(Quarantine::expire);
        }
        assertThat(nodes).allMatch(node -> node.verdict(REQUESTS.get(0)) == Verdict.FREE);
    }
}
