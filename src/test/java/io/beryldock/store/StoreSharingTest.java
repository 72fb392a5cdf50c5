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

/** Tests 95 simulated nodes, 19 in each of five data centres, that follow one prefix of the store. */
final class StoreSharingTest {

    private static final String PREFIX = "nodes/";
    private static final int CENTRES = 5;
    private static final int NODES_PER_CENTRE = 19;

    /** The value with which every listener fails. */
    private static final ByteString FAULTY = ByteString.copyFromUtf8("faulty");

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final SharingFleet fleet = new SharingFleet(registry, timers);
    private final Map<String, Copy> copies = new LinkedHashMap<>();

    /** The entries that one node has received. */
    private static final class Copy implements EntryListener {
        private final TreeMap<String, ByteString> values = new TreeMap<>();

        @Override
        public boolean onEntry(Entry entry) {
            if (entry.value().filter(FAULTY::equals).isPresent()) {
                throw new IllegalStateException("a fault of the listener");
            }
            entry.value().ifPresentOrElse(value -> values.put(entry.key(), value), () -> values.remove(entry.key()));
            return true;
        }
    }

    private void start() {
        for (int centre = 0; centre < CENTRES; centre++) {
            for (int node = 0; node < NODES_PER_CENTRE; node++) {
                add("c" + centre + "-n" + node, "c" + centre);
            }
        }
        timers.advance(Duration.ofSeconds(3));
    }

    private void add(String id, String centre) {
        Copy copy = new Copy();
        copies.put(id, copy);
        fleet.add(id, centre).follow(PREFIX, Duration.ofMillis(250), Duration.ofSeconds(20), copy);
    }

    private void write(String name, String value) {
        registry.write(PREFIX + name, ByteString.copyFromUtf8(value));
    }

    private boolean allHold(String name, String value) {
        ByteString expected = ByteString.copyFromUtf8(value);
        return copies.values().stream().allMatch(copy -> expected.equals(copy.values.get(PREFIX + name)));
    }

    private List<String> watchersOf(String centre) {
        ImmutableSet<NodeId> members = IntStream.range(0, NODES_PER_CENTRE)
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
    void changeReachesAllNodesWithinASecond() {
        start();
        write("a", "1");
        timers.advance(Duration.ofSeconds(1));
        assertThat(allHold("a", "1")).isTrue();
    }

    /**
     * Guards against load on the platform's store: if each change completed a watch of every one of 95 nodes, which all
     * start a new watch, a day with few changes would cost 3,000 calls. With one watch per data centre a change costs
     * five calls.
     */
    @Test
    void changeCompletesOneWatchPerDataCentre() {
        start();
        int before = fleet.calls();
        for (int i = 0; i < 20; i++) {
            write("a", "" + i);
            timers.advance(Duration.ofSeconds(1));
        }
        assertThat(fleet.calls() - before).isLessThanOrEqualTo(20 * CENTRES + 20);
        assertThat(allHold("a", "19")).isTrue();
    }

    /** Guards against nodes that never learn that a target leaves because the watcher of their data centre failed. */
    @Test
    void failedWatchersAreReplacedWithinThreeSeconds() {
        start();
        watchersOf("c0").forEach(fleet::stop);
        watchersOf("c0").forEach(copies::remove);
        write("a", "2");
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("a", "2")).isTrue();
    }

    /** Guards against nodes that lag because the store rejects the watcher of their data centre but no other node. */
    @Test
    void watchersRejectedByTheStoreAreReplaced() {
        start();
        watchersOf("c0").forEach(id -> fleet.view(id).setDown(true));
        write("a", "3");
        timers.advance(Duration.ofSeconds(2));
        assertThat(allHold("a", "3")).isTrue();
    }

    /**
     * Guards against orders to a target that left seconds ago: the connections of a data centre's watches go silent
     * without an error. The later revisions known to watchers of other data centres reveal the silent watch.
     */
    @Test
    void silentWatchIsDetectedByLaterRevisionsOfOtherNodes() {
        start();
        watchersOf("c0").forEach(id -> fleet.view(id).setSilent(true));
        write("a", "4");
        timers.advance(Duration.ofSeconds(2));
        assertThat(allHold("a", "4")).isTrue();
    }

    /** Guards against a burst of calls when 95 nodes start at once and all of them watch the first changes. */
    @Test
    void simultaneousStartCostsFewCallsPerNode() {
        write("a", "0");
        start();
        IntStream.range(0, copies.size()).forEach(node -> write("n" + node, "1"));
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("n94", "1")).isTrue();
        assertThat(fleet.calls()).isLessThanOrEqualTo(3 * copies.size());
    }

    /** Guards against an outage in which the retries of all nodes keep the store from recovering. */
    @Test
    void outageCausesFewCallsAndChangesArriveAfterIt() {
        start();
        copies.keySet().forEach(id -> fleet.view(id).setDown(true));
        int before = fleet.calls();
        write("a", "5");
        timers.advance(Duration.ofSeconds(8));
        int callsDuringOutage = fleet.calls() - before;
        copies.keySet().forEach(id -> fleet.view(id).setDown(false));
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("a", "5")).isTrue();
        assertThat(callsDuringOutage).isLessThan(copies.size() * 16);
    }

    /** A node that receives no answers from other nodes watches the store itself. */
    @Test
    void nodeWithoutAnswersWatchesTheStoreItself() {
        start();
        List<String> others =
                copies.keySet().stream().filter(id -> !id.equals("c1-n7")).toList();
        others.forEach(fleet::stop);
        timers.advance(Duration.ofSeconds(4));
        write("a", "6");
        timers.advance(Duration.ofSeconds(1));
        assertThat(copies.get("c1-n7").values).containsKey(PREFIX + "a");
    }

    /** After random changes and connection faults all nodes hold the same entries as the store. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void allNodesConvergeAfterConnectionFaults(long seed) {
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

    /** Guards against nodes that keep lost entries, or miss changes whose revision numbers were assigned twice. */
    @Test
    void allNodesConvergeAfterARestoreFromAnOlderCopy() {
        start();
        write("kept", "1");
        write("changed", "1");
        timers.advance(Duration.ofSeconds(1));
        FakeRegistry.Copy copy = registry.copy();
        write("changed", "2");
        write("lost", "1");
        write("lost", "2");
        timers.advance(Duration.ofSeconds(1));
        registry.restoreFrom(copy);
        write("changed", "3");
        timers.advance(Duration.ofSeconds(2));
        assertThat(copies.values()).allSatisfy(found -> assertThat(found.values).isEqualTo(stored()));
    }

    /** Guards against a watch that waits in the new era for a later revision number of the old era. */
    @Test
    void watchOfAnEarlierEraIsReplaced() {
        start();
        FakeRegistry.Copy copy = registry.copy();
        write("a", "1");
        timers.advance(Duration.ofSeconds(1));
        copies.keySet().forEach(id -> fleet.view(id).setDown(true));
        registry.restoreFrom(copy);
        write("a", "2");
        copies.keySet().forEach(id -> fleet.view(id).setDown(false));
        timers.advance(Duration.ofSeconds(3));
        assertThat(allHold("a", "2")).isTrue();
    }

    /** Guards against nodes that accept entries of the first era from a node that was suspended for several eras. */
    @Test
    void entriesOfANodeSuspendedForSeveralErasAreIgnored() {
        start();
        String watcher = watchersOf("c0").get(0);
        FakeRegistry.Copy copy = registry.copy();
        write("a", "old");
        timers.advance(Duration.ofSeconds(1));
        fleet.suspend(watcher, true);
        for (int i = 0; i < 3; i++) {
            registry.restoreFrom(copy);
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

    /**
     * After random changes, restores, suspensions and connection faults all nodes hold the same entries as the store.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void allNodesConvergeAfterFaultsAndRestores(long seed) {
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
                case 5 -> registry.restoreFrom(copy);
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
    void malformedNoticeIsIgnored() {
        start();
        fleet.add("stranger", "c0").onMessage(NodeId.of("c0-n1"), ByteString.copyFromUtf8("rubbish"), unused -> {});
        write("a", "7");
        timers.advance(Duration.ofSeconds(1));
        assertThat(allHold("a", "7")).isTrue();
    }

    /** Guards against a node that follows nothing any more after one entry made its listener fail. */
    @Test
    void changesArriveAfterAListenerHasFailed() {
        start();
        registry.write(PREFIX + "a", FAULTY);
        timers.advance(Duration.ofSeconds(1));
        write("b", "8");
        timers.advance(Duration.ofSeconds(1));
        assertThat(allHold("b", "8")).isTrue();
    }

    /** Guards against a watch that was lost within this node and that its follower waits for without end. */
    @Test
    void watchThatNeverEndsIsReplaced() {
        start();
        copies.keySet().forEach(id -> fleet.view(id).setLosesWatches(true));
        write("a", "9");
        timers.advance(Duration.ofSeconds(1));
        copies.keySet().forEach(id -> fleet.view(id).setLosesWatches(false));
        timers.advance(Duration.ofSeconds(14));
        write("a", "10");
        timers.advance(Duration.ofSeconds(1));
        assertThat(allHold("a", "10")).isTrue();
    }

    /** Guards against a change that all nodes miss for good, because the store withheld it from the watches. */
    @Test
    void changeThatTheStoreWithheldReachesAllNodes() {
        start();
        for (int phase = 0; phase < 44; phase++) {
            timers.advance(Duration.ofMillis(250L * phase));
            registry.setWithholding(true);
            write("a", "withheld " + phase);
            timers.advance(Duration.ofSeconds(1));
            registry.setWithholding(false);
            timers.advance(Duration.ofSeconds(11));
            assertThat(allHold("a", "withheld " + phase)).as("phase %d", phase).isTrue();
        }
    }
}
