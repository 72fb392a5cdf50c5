package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Nineteen nodes of each of five data centres follow one prefix of the store. */
final class StoreSharingTest {

    private static final String PREFIX = "nodes/";
    private static final int CENTRES = 5;
    private static final int NODES_OF_A_CENTRE = 19;

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final Map<String, Copy> copies = new LinkedHashMap<>();

    /** What one node has heard of the store. */
    private static final class Copy implements EntryListener {
        private final TreeMap<String, ByteString> values = new TreeMap<>();

        @Override
        public boolean onEntry(Entry entry) {
            entry.value().ifPresentOrElse(value -> values.put(entry.key(), value), () -> values.remove(entry.key()));
            return true;
        }
    }

    private void start() {
        for (int centre = 0; centre < CENTRES; centre++) {
            for (int node = 0; node < NODES_OF_A_CENTRE; node++) {
                add("c" + centre + "-n" + node, "c" + centre);
            }
        }
        timers.advance(Duration.ofSeconds(3));
    }

    private void add(String id, String centre) {
        Copy copy = new Copy();
        copies.put(id, copy);
        fleet.add(id, centre).follow(PREFIX, Duration.ofMillis(250), copy);
    }

    private void write(String name, String value) {
        registry.write(PREFIX + name, ByteString.copyFromUtf8(value));
    }

    private boolean allHold(String name, String value) {
        ByteString expected = ByteString.copyFromUtf8(value);
        return copies.values().stream().allMatch(copy -> expected.equals(copy.values.get(PREFIX + name)));
    }

    private List<String> watchersOf(String centre) {
        ImmutableSet<NodeId> members = IntStream.range(0, NODES_OF_A_CENTRE)
                .mapToObj(node -> NodeId.of(centre + "-n" + node))
                .collect(ImmutableSet.toImmutableSet());
        return members.stream()
                .filter(node -> new WatcherChoice(node, timers.ticker().nanos())
                        .isWatcher(
                                members,
                                WatcherChoice.WITH_OTHER_CENTRES,
                                timers.ticker().nanos()))
                .map(NodeId::value)
                .toList();
    }

    @Test
    void changeIsKnownEverywhereWithinASecond() {
        start();
        write("a", "1");
        timers.advance(Duration.ofSeconds(1));
        assertThat(allHold("a", "1")).isTrue();
    }

    /**
     * Story: a calm day of 95 nodes costs the platform 3,000 calls, as each change woke 95 watches, each of which was
     * made again. One watch a data centre is woken now: a change costs five calls.
     */
    @Test
    void changeWakesOneWatchADataCentre() {
        start();
        int before = fleet.calls();
        for (int i = 0; i < 20; i++) {
            write("a", "" + i);
            timers.advance(Duration.ofSeconds(1));
        }
        assertThat(fleet.calls() - before).isLessThanOrEqualTo(20 * CENTRES + 20);
        assertThat(allHold("a", "19")).isTrue();
    }

    /** Story: the watcher of a data centre dies, and its nodes never hear of a target that leaves. */
    @Test
    void watchersThatDieAreReplacedWithinThreeSeconds() {
        start();
        watchersOf("c0").forEach(fleet::stop);
        watchersOf("c0").forEach(copies::remove);
        write("a", "2");
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("a", "2")).isTrue();
    }

    /** Story: the store turns away the watcher of a data centre and serves all others. */
    @Test
    void watchersThatTheStoreTurnsAwayAreReplaced() {
        start();
        watchersOf("c0").forEach(id -> fleet.view(id).setDown(true));
        write("a", "3");
        timers.advance(Duration.ofSeconds(2));
        assertThat(allHold("a", "3")).isTrue();
    }

    /**
     * Story: the connections of a data centre's watches go silent without an error; an order goes to a target that left
     * seconds ago. Watchers elsewhere know more, which shows that the watch hears nothing.
     */
    @Test
    void silentWatchIsNoticedByWhatOthersKnow() {
        start();
        watchersOf("c0").forEach(id -> fleet.view(id).setSilent(true));
        write("a", "4");
        timers.advance(Duration.ofSeconds(2));
        assertThat(allHold("a", "4")).isTrue();
    }

    /** Story: 95 nodes that start at once all watch for each other, with a call for each of the first changes. */
    @Test
    void startOfAllNodesCostsAFewCallsEach() {
        write("a", "0");
        start();
        IntStream.range(0, copies.size()).forEach(node -> write("n" + node, "1"));
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("n94", "1")).isTrue();
        assertThat(fleet.calls()).isLessThanOrEqualTo(3 * copies.size());
    }

    /** Story: an outage of the store makes each node call it again and again, which keeps it from coming back. */
    @Test
    void outageBringsFewCallsAndTheNewsAfterIt() {
        start();
        copies.keySet().forEach(id -> fleet.view(id).setDown(true));
        int before = fleet.calls();
        write("a", "5");
        timers.advance(Duration.ofSeconds(8));
        int tried = fleet.calls() - before;
        copies.keySet().forEach(id -> fleet.view(id).setDown(false));
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("a", "5")).isTrue();
        assertThat(tried).isLessThan(copies.size() * 16);
    }

    /** A node that stands alone relies on nobody. */
    @Test
    void nodeThatNobodyAnswersWatchesItself() {
        start();
        List<String> others =
                copies.keySet().stream().filter(id -> !id.equals("c1-n7")).toList();
        others.forEach(fleet::stop);
        timers.advance(Duration.ofSeconds(4));
        write("a", "6");
        timers.advance(Duration.ofSeconds(1));
        assertThat(copies.get("c1-n7").values).containsKey(PREFIX + "a");
    }

    /** Whatever changes while nodes die, lose the store and come back: all agree with the store in the end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void allAgreeWithTheStoreInTheEnd(long seed) {
        start();
        Random random = new Random(seed);
        List<String> ids = List.copyOf(copies.keySet());
        for (int step = 0; step < 60; step++) {
            String id = ids.get(random.nextInt(ids.size()));
            switch (random.nextInt(4)) {
                case 0 -> fleet.view(id).setDown(random.nextBoolean());
                case 1 -> fleet.view(id).setSilent(random.nextBoolean());
                default -> write("k" + random.nextInt(10), "v" + step);
            }
            timers.advance(Duration.ofMillis(random.nextInt(800)));
        }
        ids.forEach(id -> fleet.view(id).setDown(false));
        ids.forEach(id -> fleet.view(id).setSilent(false));
        write("end", "all");
        timers.advance(Duration.ofSeconds(15));
        Map<String, ByteString> first = copies.get(ids.get(0)).values;
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.values).isEqualTo(first));
        assertThat(allHold("end", "all")).isTrue();
    }

    private Map<String, ByteString> stored() {
        Map<String, ByteString> stored = new TreeMap<>();
        registry.copy()
                .items()
                .forEach((key, item) -> stored.put(key, item.value().orElseThrow()));
        return stored;
    }

    /** Guards against nodes that keep what the store lost, or miss what was written at revisions given out again. */
    @Test
    void allAgreeWithTheStoreSoonAfterItCameBackFromAnOlderCopy() {
        start();
        write("kept", "1");
        write("changed", "1");
        timers.advance(Duration.ofSeconds(1));
        FakeRegistry.Copy copy = registry.copy();
        write("changed", "2");
        write("lost", "1");
        write("lost", "2");
        timers.advance(Duration.ofSeconds(1));
        registry.comeBackFrom(copy);
        write("changed", "3");
        timers.advance(Duration.ofSeconds(2));
        assertThat(copies.values()).allSatisfy(found -> assertThat(found.values).isEqualTo(stored()));
    }

    /** Guards against a watch that waits in the new era for a revision of the old one, which it has by then. */
    @Test
    void watchFromAnEarlierEraIsMadeAnew() {
        start();
        FakeRegistry.Copy copy = registry.copy();
        write("a", "1");
        timers.advance(Duration.ofSeconds(1));
        copies.keySet().forEach(id -> fleet.view(id).setDown(true));
        registry.comeBackFrom(copy);
        write("a", "2");
        copies.keySet().forEach(id -> fleet.view(id).setDown(false));
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("a", "2")).isTrue();
    }

    /** Guards against neighbours that believe a node which slept over several eras and tells of the first one. */
    @Test
    void nodeThatSleptOverSeveralErasIsNotBelieved() {
        start();
        String watcher = watchersOf("c0").get(0);
        FakeRegistry.Copy copy = registry.copy();
        write("a", "old");
        timers.advance(Duration.ofSeconds(1));
        fleet.suspend(watcher, true);
        for (int i = 0; i < 3; i++) {
            registry.comeBackFrom(copy);
            write("a", "new" + i);
            timers.advance(Duration.ofSeconds(4));
        }
        fleet.suspend(watcher, false);
        for (int i = 0; i < 40; i++) {
            timers.advance(Duration.ofMillis(50));
            assertThat(copies)
                    .allSatisfy((id, found) -> assertThat(id.equals(watcher)
                                    || ByteString.copyFromUtf8("new2").equals(found.values.get(PREFIX + "a")))
                            .isTrue());
        }
        assertThat(allHold("a", "new2")).isTrue();
    }

    /** Whatever changes while the store comes back from copies, nodes die and lose it: all agree with it in the end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void allAgreeWithTheStoreOfTheLastEra(long seed) {
        start();
        Random random = new Random(seed);
        List<String> ids = List.copyOf(copies.keySet());
        FakeRegistry.Copy copy = registry.copy();
        for (int step = 0; step < 60; step++) {
            String id = ids.get(random.nextInt(ids.size()));
            switch (random.nextInt(8)) {
                case 0 -> fleet.view(id).setDown(random.nextBoolean());
                case 1 -> fleet.view(id).setSilent(random.nextBoolean());
                case 2 -> fleet.suspend(id, random.nextBoolean());
                case 3 -> fleet.view(id).setDelay(() -> Duration.ofMillis(random.nextInt(900)));
                case 4 -> copy = registry.copy();
                case 5 -> registry.comeBackFrom(copy);
                default -> write("k" + random.nextInt(10), "v" + step);
            }
            timers.advance(Duration.ofMillis(random.nextInt(800)));
        }
        ids.forEach(id -> {
            fleet.view(id).setDown(false);
            fleet.view(id).setSilent(false);
            fleet.view(id).setDelay(() -> Duration.ZERO);
            fleet.suspend(id, false);
        });
        timers.advance(Duration.ofSeconds(15));
        assertThat(copies.values()).allSatisfy(found -> assertThat(found.values).isEqualTo(stored()));
    }

    @Test
    void malformedNoticeIsPassedOver() {
        start();
        fleet.add("stranger", "c0").onMessage(NodeId.of("c0-n1"), ByteString.copyFromUtf8("rubbish"), unused -> {});
        write("a", "7");
        timers.advance(Duration.ofSeconds(1));
        assertThat(allHold("a", "7")).isTrue();
    }
}
