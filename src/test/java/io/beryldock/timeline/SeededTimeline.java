package io.beryldock.timeline;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * A seeded simulation of a few nodes whose wall clocks differ: the service holdings is slow for some time, requests are
 * shed, a node is lost and the configuration changes. Each message between nodes carries the sender's clock.
 */
public final class SeededTimeline {

    private static final long START = Instant.parse("2026-02-09T08:00:00Z").toEpochMilli();

    private final Random random;
    private final List<EventRing> rings = new ArrayList<>();
    private final Incarnation incarnation;
    private long now = START;
    private long requests;

    private SeededTimeline(long seed, int nodesPerDataCentre) {
        random = new Random(seed);
        incarnation = Incarnation.random(random);
        for (String dataCentre : List.of("gent-a", "gent-b")) {
            for (int i = 1; i <= nodesPerDataCentre; i++) {
                long skew = random.nextLong(-20, 21);
                InstantSource wall = () -> Instant.ofEpochMilli(now + skew);
                rings.add(EventRing.create(
                        NodeId.of(dataCentre + "-lists-" + i),
                        DataCentre.of(dataCentre),
                        HybridLogicalClock.create(wall),
                        1000,
                        random));
            }
        }
    }

    /** Runs the simulation and returns the event rings of its nodes. */
    public static ImmutableList<EventRing> run(long seed, int nodesPerDataCentre, int shedPerTick) {
        SeededTimeline run = new SeededTimeline(seed, nodesPerDataCentre);
        run.start();
        run.overload(shedPerTick);
        run.recover();
        return ImmutableList.copyOf(run.rings);
    }

    public static ImmutableList<Event> merged(ImmutableList<EventRing> rings) {
        return TimelineMerger.merge(
                rings.stream().map(ring -> ring.since(HlcTime.ZERO)).toList());
    }

    private void start() {
        for (EventRing ring : rings) {
            ring.record(EventKind.NODE_STARTED, ring.node().value(), "callers at 10.0.0.1:8080");
            ring.record(EventKind.TARGET_ANNOUNCED, "lists", "15 slots, ready");
            advance(30);
        }
        rings.get(0).record(EventKind.CONFIGURATION_CHANGED, "class browsing", "priority 6 to 7 by lien, version 12");
        propagate(rings.get(0), EventKind.CONFIGURATION_APPLIED, "version 12", "from a peer");
        advance(1500);
    }

    private void overload(int shedPerTick) {
        EventRing first = rings.get(0);
        first.record(EventKind.LIMIT_CHANGED, "holdings", "15 to 6, answers take 410 ms against 82 ms");
        advance(120);
        first.record(EventKind.LEVEL_CHANGED, "holdings", "1024 to 832");
        propagate(first, EventKind.LEVEL_CHANGED, "holdings", "1024 to 832, learned from an answer");
        for (int step = 0; step < 40; step++) {
            for (int i = 0; i < shedPerTick; i++) {
                shed();
            }
            advance(100);
        }
        EventRing lost = rings.get(rings.size() - 1);
        lost.record(EventKind.STORE_DOWN, "platform", "no answer for 2 s");
        first.record(EventKind.MEMBER_SUSPECTED, lost.node().value(), "no answer to a ping, nor by 3 others");
        advance(1000);
    }

    private void shed() {
        EventRing ring = rings.get(random.nextInt(rings.size()));
        RequestId request = new RequestId(incarnation, ++requests);
        boolean door = random.nextInt(4) > 0;
        if (door) {
            ring.record(EventKind.SHED_AT_DOOR, Optional.of(request), "holdings", "class browsing, level 832");
        } else {
            ring.record(EventKind.SHED_AT_TARGET, Optional.of(request), "holdings", "class browsing, queue of 30");
            ring.record(EventKind.RETRY_REFUSED, Optional.of(request), "holdings", "budget of 10% is spent");
        }
    }

    private void recover() {
        EventRing first = rings.get(0);
        first.record(EventKind.LIMIT_CHANGED, "holdings", "6 to 15, answers take 84 ms");
        propagate(first, EventKind.LEVEL_CHANGED, "holdings", "832 to 1024, learned from an answer");
        EventRing lost = rings.get(rings.size() - 1);
        lost.record(EventKind.STORE_BACK, "platform", "after 3 s");
        first.record(EventKind.DRAIN_STARTED, first.node().value(), "by lien, 4 in flight");
        advance(700);
        first.record(EventKind.DRAIN_ENDED, first.node().value(), "nothing in flight");
    }

    private void propagate(EventRing from, EventKind kind, String subject, String detail) {
        HlcTime sent = from.clock().now();
        for (EventRing ring : rings) {
            if (ring != from) {
                advance(random.nextInt(8));
                ring.clock().observe(sent);
                ring.record(kind, subject, detail);
            }
        }
    }

    private void advance(long millis) {
        now += millis;
    }
}
