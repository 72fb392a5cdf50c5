package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.store.StoreFaults;
import io.beryldock.store.StoredValue;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ConfigurationSyncTest {

    private static final Duration WITHIN = Duration.ofSeconds(13);

    private static long accept(Fleet fleet, FleetNode node, ConfigurationChange change) {
        var result = node.writer.submit(change, "ann", ConfigurationWriter.VERSION_IN_FORCE);
        fleet.advance(Duration.ofMillis(500));
        assertThat(result).isCompleted();
        assertThat(result.join()).isInstanceOf(ChangeResult.Accepted.class);
        return ((ChangeResult.Accepted) result.join()).version();
    }

    private static ConfigurationChange rank(int number) {
        return new ConfigurationChange.SetClass("c" + number, number % 8);
    }

    @Test
    void acceptedChangeIsEverywhereSoon() {
        Fleet fleet = Fleet.of(1, 4, 30);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        long version = accept(fleet, fleet.nodes.get(7), rank(1));
        fleet.advance(Duration.ofSeconds(2));
        assertThat(fleet.behind(version)).isEmpty();
        assertThat(fleet.violations).isEmpty();
    }

    /**
     * An operator drains a target; a node beside it restarts. Its callers see the drained target get work again,
     * because the new process knows only the defaults of its release.
     */
    @Test
    void restartedNodeLearnsTheHighestBeforeItServes() {
        Fleet fleet = Fleet.of(2, 2, 5);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        NodeId drained = NodeId.of("dc-0-n1");
        accept(fleet, fleet.nodes.get(0), new ConfigurationChange.Drain(drained));
        fleet.advance(WITHIN);
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        FleetNode restarted = fleet.nodes.get(3);
        restarted.kill();
        fleet.advance(Duration.ofSeconds(1));
        restarted.start();
        fleet.advance(StartWait.LONGEST);
        assertThat(restarted.started.join().confirmed()).isTrue();
        assertThat(restarted.keeper.current().drained(drained)).isTrue();
        assertThat(restarted.keeper.changes()).isNotEmpty();
    }

    /**
     * A fleet starts while the store is down: nobody can tell the highest version, and a node that waited for ever
     * would serve nothing.
     */
    @Test
    void nodeServesOnDefaultsAndSaysSoWhenNobodyAnswers() {
        Fleet fleet = Fleet.of(3, 1, 3);
        fleet.store.setFaults(StoreFaults.none().withSilent(true));
        fleet.start();
        fleet.advance(StartWait.LONGEST);
        assertThat(fleet.nodes.get(0).started.join()).isEqualTo(new StartReport(0, false));
    }

    /**
     * The store lost everything, and answers a node that starts faster than its peers: "there is no configuration". The
     * node would serve on the defaults while all others have the operators' settings.
     */
    @Test
    void startingNodeBelievesPeersBeforeAnEmptyStore() {
        Fleet fleet = Fleet.of(12, 1, 3);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        long version = accept(fleet, fleet.nodes.get(0), rank(6));
        FleetNode restarted = fleet.nodes.get(2);
        restarted.kill();
        restarted.storeSeenAs = store -> new StoreThatMistakes(store, lost -> lost) {
            @Override
            public CompletableFuture<Optional<StoredValue>> get(String key) {
                return CompletableFuture.completedFuture(Optional.empty());
            }

            @Override
            public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
                return new CompletableFuture<>();
            }
        };
        fleet.latency = Duration.ofMillis(300);
        restarted.start();
        fleet.advance(StartWait.LONGEST);
        assertThat(restarted.started.join()).isEqualTo(new StartReport(version, true));
    }

    /**
     * A data centre loses the store and all other data centres but one; a change is accepted elsewhere. Its users would
     * go on by the old settings for as long as the cut lasts, though a way round is open.
     */
    @Test
    void dataCentreWithoutStoreLearnsFromItsOnlyNeighbour() {
        Fleet fleet = Fleet.of(4, 4, 6);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        fleet.cutFromStore("dc-3", true);
        fleet.cut("dc-3", "dc-0", true);
        fleet.cut("dc-3", "dc-1", true);
        long version = accept(fleet, fleet.nodes.get(0), rank(2));
        fleet.advance(WITHIN);
        assertThat(fleet.behind(version)).isEmpty();
    }

    /**
     * The store goes down right after a change was accepted in one data centre, before any watcher was told. Users
     * elsewhere would keep the old setting until the store is back, hours later.
     */
    @Test
    void acceptedChangeSpreadsWhileTheStoreIsDown() {
        Fleet fleet = Fleet.of(5, 5, 6);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        fleet.nodes.stream()
                .map(FleetNode::place)
                .distinct()
                .filter(place -> !place.equals("dc-0"))
                .forEach(place -> fleet.cutFromStore(place, true));
        long version = accept(fleet, fleet.nodes.get(0), rank(3));
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        fleet.advance(WITHIN);
        assertThat(fleet.behind(version)).isEmpty();
    }

    /**
     * A data centre is cut off while hundreds of changes are made, more than peers keep; then it is back. It must take
     * the whole document from a peer, once, and go on by changes.
     */
    @Test
    void dataCentreFarBehindTakesTheWholeDocument() {
        Fleet fleet = Fleet.of(6, 2, 4);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        fleet.cutFromStore("dc-1", true);
        fleet.cut("dc-0", "dc-1", true);
        long version = 0;
        for (int i = 0; i < ChangeLog.MAX_RECORDS + 50; i++) {
            version = accept(fleet, fleet.nodes.get(0), rank(i));
        }
        assertThat(fleet.behind(version)).hasSize(4);
        fleet.cut("dc-0", "dc-1", false);
        fleet.advance(WITHIN);
        assertThat(fleet.behind(version)).isEmpty();
        assertThat(fleet.violations).isEmpty();
    }

    /**
     * An operator asks whether a change is in force; one node is stopped and one paused, and the answer must name them.
     */
    @Test
    void reportNamesNodesThatDoNotAnswer() {
        Fleet fleet = Fleet.of(7, 3, 20);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        fleet.nodes.get(25).kill();
        fleet.nodes.get(26).pause();
        long version = accept(fleet, fleet.nodes.get(0), rank(4));
        var report = fleet.nodes.get(0).sync.awaitInForce(version, Duration.ofSeconds(2));
        fleet.advance(Duration.ofSeconds(3));
        InForceReport inForce = report.join();
        assertThat(inForce.dataCentresInForce()).isEqualTo(2);
        InForceReport.Line sick = inForce.dataCentres().get(1);
        assertThat(sick.nodes()).isEqualTo(20);
        assertThat(sick.holding()).isEqualTo(18);
        assertThat(sick.behind())
                .containsExactlyInAnyOrder(
                        fleet.nodes.get(25).self.id(), fleet.nodes.get(26).self.id());
        fleet.nodes.get(26).resume();
        fleet.advance(Duration.ofSeconds(1));
        assertThat(fleet.nodes.get(26).version()).isEqualTo(version);
    }

    /** A message of another program or a broken peer reaches the topic; the node must go on. */
    @Test
    void unreadableMessageIsDropped() {
        Fleet fleet = Fleet.of(8, 1, 2);
        fleet.start();
        FleetNode node = fleet.nodes.get(0);
        node.sync.onMessage(NodeId.of("x"), ByteString.copyFromUtf8("junk"));
        fleet.advance(Duration.ofSeconds(6));
        assertThat(fleet.violations).isEmpty();
    }

    /**
     * Something between a lone node and the store loses track of its watch: no answer, no error, while new calls work.
     * Its operators would see it keep an old setting for good.
     */
    @Test
    void silentWatchIsFollowedByRead() {
        Fleet fleet = Fleet.of(9, 2, 1);
        FleetNode lone = fleet.nodes.get(1);
        lone.storeSeenAs = store -> new StoreThatMistakes(store, lost -> lost) {
            @Override
            public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
                return new CompletableFuture<>();
            }
        };
        fleet.start();
        fleet.cut("dc-0", "dc-1", true);
        fleet.advance(Duration.ofSeconds(6));
        long version = accept(fleet, fleet.nodes.get(0), rank(5));
        fleet.advance(WITHIN);
        assertThat(fleet.behind(version)).isEmpty();
    }

    @Test
    void historyNamesWhoAndWhenBeyondMemory() {
        Fleet fleet = Fleet.of(10, 1, 2);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        for (int i = 0; i < ChangeLog.MAX_RECORDS + 20; i++) {
            accept(fleet, fleet.nodes.get(0), rank(i));
        }
        FleetNode node = fleet.nodes.get(1);
        var history = ConfigurationHistory.create(fleet.store, fleet.timers, node.keeper);
        assertThat(history.last(3).join()).extracting(ChangeRecord::version).containsExactly(274L, 275L, 276L);
        ChangeRecord first = history.last(ConfigurationHistory.MOST).join().get(0);
        assertThat(first.version()).isEqualTo(1);
        assertThat(first.operator()).isEqualTo("ann");
        assertThat(first.statement()).isEqualTo("set class c0 priority 0");
        assertThat(history.find(first.changeId()).join()).contains(first);
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        assertThat(history.last(ConfigurationHistory.MOST).join()).hasSize(ChangeLog.MAX_RECORDS);
    }
}
