package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.store.FakeRegistry;
import io.beryldock.store.StorePeers;
import io.beryldock.store.StoreRecovery;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.ManualTimerService;
import io.beryldock.time.Moment;
import io.beryldock.timeline.EventSink;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Departures, restarts of their node and faults of the store in random order, on a clock set by hand. */
final class DepartureScheduleTest {

    private static final int STEPS = 150;
    private static final int LONGEST_STEP_MILLIS = 2_500;
    private static final int LONGEST_LATE_MILLIS = 6_000;
    private static final Duration LONGER_THAN_A_RETRY = Duration.ofSeconds(3);
    private static final ServiceName SERVICE = ServiceName.of("lists");

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final Deque<DepartedStart> confirmed = new ArrayDeque<>();
    private FakeRegistry.View view;
    private RegistryMembership node;
    private int number;

    private void startNode(Random random) {
        view = registry.view();
        NodeDescriptor self = new NodeDescriptor(
                NodeId.of("n1"), new Incarnation(++number, 1), DataCentre.of("gent-a"), new InetSocketAddress(1));
        StoreRecovery recovery = StoreRecovery.create();
        StoreSharing.Ports sharingPorts = new StoreSharing.Ports(
                view, recovery, StorePeers.none(self.id()), timers, Moment.Source.system(), random);
        StoreSharing sharing = StoreSharing.create(self.id(), sharingPorts);
        node = RegistryMembership.create(
                self, new RegistryPorts(view, recovery, sharing, timers, random, EventSink.none()));
        node.start();
    }

    private void depart() {
        DepartedStart start = new DepartedStart("i-" + ++number, 0);
        CompletableFuture<Void> stored = node.add(start);
        node.announce(SERVICE, 8, TargetState.LEAVING);
        FakeRegistry.View viewOfProcess = view;
        stored.thenRun(() -> {
            if (viewOfProcess == view) {
                confirmed.addLast(start);
            }
        });
    }

    private void restart(Random random) {
        view.setDown(true);
        ImmutableList<DepartedStart> expected = ImmutableList.copyOf(confirmed);
        timers.advance(Duration.ofMillis(random.nextInt(LONGEST_STEP_MILLIS)));
        startNode(random);
        List<DepartedStart> found = new ArrayList<>();
        node.readEarlier(found::addAll);
        timers.advance(LONGER_THAN_A_RETRY);
        assertThat(found).containsAll(expected);
        confirmed.clear();
        confirmed.addAll(
                expected.subList(Math.max(0, expected.size() - RecordedDepartures.MAX_STARTS / 2), expected.size()));
    }

    private void step(Random random) {
        switch (random.nextInt(8)) {
            case 0, 1 -> depart();
            case 2 -> node.announce(SERVICE, 1 + random.nextInt(100), TargetState.READY);
            case 3, 4 -> view.delayNextWrite(Duration.ofMillis(random.nextInt(LONGEST_LATE_MILLIS)));
            case 5 -> registry.expireLeases();
            case 6 -> view.setSilent(random.nextBoolean());
            default -> restart(random);
        }
        timers.advance(Duration.ofMillis(random.nextInt(LONGEST_STEP_MILLIS)));
    }

    /** Guards against a confirmed departure that the next process of the node does not find. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void confirmedDeparturesAreFoundByTheNextProcess(long seed) {
        Random random = new Random(seed);
        startNode(random);
        for (int i = 0; i < STEPS; i++) {
            step(random);
        }
    }
}
