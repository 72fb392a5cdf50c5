package io.beryldock.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventRingTest {

    private static final Incarnation INCARNATION = new Incarnation(1, 2);

    private long now = 1_000_000;
    private final EventRing ring = ring(100);

    private EventRing ring(int capacity) {
        return EventRing.create(
                NodeId.of("n1"),
                DataCentre.of("gent-a"),
                HybridLogicalClock.create(() -> Instant.ofEpochMilli(now)),
                capacity,
                new Random(3));
    }

    private static RequestId request(long number) {
        return new RequestId(INCARNATION, number);
    }

    private static Optional<RequestId> about(long number) {
        return Optional.of(request(number));
    }

    /**
     * Guards against the loss of the cause of an overload: a node sheds thousands of requests per second, and these
     * decisions must not evict the change of level that caused them from the bounded ring.
     */
    @Test
    void shedDecisionsDoNotEvictTheirCause() {
        ring.record(EventKind.LEVEL_CHANGED, "holdings", "1024 to 832");
        for (int i = 0; i < 50_000; i++) {
            now += i % 10 == 0 ? 1 : 0;
            ring.record(EventKind.SHED_AT_DOOR, about(i), "holdings", "class browsing");
        }
        ImmutableList<Event> events = ring.since(HlcTime.ZERO);
        assertThat(events.get(0).kind()).isEqualTo(EventKind.LEVEL_CHANGED);
        assertThat(events.size()).isLessThan(20);
        assertThat(events.stream().skip(1).mapToLong(Event::count).sum()).isEqualTo(50_000);
    }

    @Test
    void firstEventOfAnAggregatedKindIsVisibleAtOnce() {
        ring.record(EventKind.SHED_AT_TARGET, about(1), "lists", "queue full");
        assertThat(ring.since(HlcTime.ZERO)).singleElement().satisfies(event -> {
            assertThat(event.count()).isEqualTo(1);
            assertThat(event.request()).isEqualTo(about(1));
        });
    }

    /**
     * Guards against a refused request that can't be explained because its event is aggregated under another request.
     */
    @Test
    void everyRecentRequestIsFoundAlthoughItsEventIsAggregated() {
        for (int i = 0; i < 200; i++) {
            ring.record(EventKind.SHED_AT_DOOR, about(i), "holdings", "decision " + i);
        }
        for (int i = 0; i < 200; i++) {
            assertThat(ring.find(request(i))).singleElement().matches(event -> event.count() == 1);
        }
        ring.record(EventKind.SHED_AT_DOOR, about(200), "holdings", "decision that evicts the oldest");
        assertThat(ring.find(request(0))).isEmpty();
    }

    @Test
    void explanationContainsTheLastStateBeforeTheDecision() {
        ring.record(EventKind.LEVEL_CHANGED, "holdings", "first");
        ring.record(EventKind.LEVEL_CHANGED, "holdings", "second");
        ring.record(EventKind.LEVEL_CHANGED, "lists", "state of another service");
        ring.record(EventKind.SHED_AT_DOOR, about(7), "holdings", "shed");
        ring.record(EventKind.LEVEL_CHANGED, "holdings", "state after the decision");
        assertThat(ring.explain(request(7))).extracting(Event::detail).containsExactly("second", "shed");
    }

    @Property(tries = 200, seed = "41")
    void countsSumToTheNumberOfRecordedEvents(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 600) int records) {
        EventRing large = ring(10_000);
        for (int i = 0; i < records; i++) {
            now += random.nextInt(400);
            EventKind kind = random.nextBoolean() ? EventKind.SHED_AT_DOOR : EventKind.RETRY_GRANTED;
            large.record(kind, about(i), "service-" + random.nextInt(400), "");
        }
        ImmutableList<Event> events = large.since(HlcTime.ZERO);
        assertThat(events.stream().mapToLong(Event::count).sum()).isEqualTo(records);
        assertThat(events).isSortedAccordingTo(Event.CAUSAL_ORDER);
        HlcTime middle = events.get(events.size() / 2).time();
        assertThat(large.since(middle)).allMatch(event -> event.time().compareTo(middle) >= 0);
    }
}
