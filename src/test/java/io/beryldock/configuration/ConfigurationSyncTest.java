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

    private static final Duration SPREAD_LIMIT = Duration.ofSeconds(13);

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
    void acceptedChangeIsInForceOnAllNodesWithinTwoSeconds() {
        Fleet fleet = Fleet.of(1, 4, 30);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        long version = accept(fleet, fleet.nodes.get(7), rank(1));
        fleet.advance(Duration.ofSeconds(2));
        assertThat(fleet.behind(version)).isEmpty();
        assertThat(fleet.violations).isEmpty();
    }

    /**
     * Guards against a drained target that gets requests again after a restart of a node, because the new process knows
     * only the defaults of its release.
     */
    @Test
    void restartedNodeHasHighestVersionBeforeItServes() {
        Fleet fleet = Fleet.of(2, 2, 5);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        NodeId drained = NodeId.of("dc-0-n1");
        accept(fleet, fleet.nodes.get(0), new ConfigurationChange.Drain(drained));
        fleet.advance(SPREAD_LIMIT);
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        FleetNode restarted = fleet.nodes.get(3);
        restarted.kill();
        fleet.advance(Duration.ofSeconds(1));
        restarted.start();
        fleet.advance(StartWait.MAX_WAIT);
        assertThat(restarted.started.join().confirmed()).isTrue();
        assertThat(restarted.activeConfiguration.current().drained(drained)).isTrue();
        assertThat(restarted.activeConfiguration.changes()).isNotEmpty();
    }

    /**
     * Guards against nodes that never serve: if a fleet starts while the store is down, no node can report the highest
     * version, and a node that waited for it without limit would serve no requests.
     */
    @Test
    void nodeServesWithUnconfirmedDefaultsWhenStoreDoesNotAnswer() {
        Fleet fleet = Fleet.of(3, 1, 3);
        fleet.store.setFaults(StoreFaults.none().withSilent(true));
        fleet.start();
        fleet.advance(StartWait.MAX_WAIT);
        assertThat(fleet.nodes.get(0).started.join()).isEqualTo(new StartReport(0, false));
    }

    /**
     * Guards against a starting node that serves with the defaults while all other nodes have the operators' settings:
     * a store that has lost its content reports that there is no configuration before the peers of the starting node
     * reply.
     */
    @Test
    void startingNodePrefersPeersToEmptyStore() {
        Fleet fleet = Fleet.of(12, 1, 3);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        long version = accept(fleet, fleet.nodes.get(0), rank(6));
        FleetNode restarted = fleet.nodes.get(2);
        restarted.kill();
        restarted.storeWrapper = store -> new MisreportingStore(store, lost -> lost) {
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
        fleet.advance(StartWait.MAX_WAIT);
        assertThat(restarted.started.join()).isEqualTo(new StartReport(version, true));
    }

    /**
     * Guards against a data centre that keeps old settings during a partition although an indirect path is open: the
     * data centre loses the store and all but one other data centre, and a change is accepted elsewhere.
     */
    @Test
    void dataCentreWithoutStoreGetsChangeFromOnlyReachableDataCentre() {
        Fleet fleet = Fleet.of(4, 4, 6);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        fleet.cutFromStore("dc-3", true);
        fleet.cut("dc-3", "dc-0", true);
        fleet.cut("dc-3", "dc-1", true);
        long version = accept(fleet, fleet.nodes.get(0), rank(2));
        fleet.advance(SPREAD_LIMIT);
        assertThat(fleet.behind(version)).isEmpty();
    }

    /**
     * Guards against old settings in other data centres until the store returns, possibly hours later: the store goes
     * down right after one data centre accepted a change, before any watcher of another data centre saw it.
     */
    @Test
    void acceptedChangeSpreadsWhileStoreIsDown() {
        Fleet fleet = Fleet.of(5, 5, 6);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        fleet.nodes.stream()
                .map(FleetNode::dataCentre)
                .distinct()
                .filter(dataCentre -> !dataCentre.equals("dc-0"))
                .forEach(dataCentre -> fleet.cutFromStore(dataCentre, true));
        long version = accept(fleet, fleet.nodes.get(0), rank(3));
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        fleet.advance(SPREAD_LIMIT);
        assertThat(fleet.behind(version)).isEmpty();
    }

    /**
     * Guards against a data centre that cannot catch up after a partition during which more changes were made than
     * peers keep. It has to fetch the full document from a peer and then continue with changes.
     */
    @Test
    void dataCentreFarBehindFetchesFullDocument() {
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
        fleet.advance(SPREAD_LIMIT);
        assertThat(fleet.behind(version)).isEmpty();
        assertThat(fleet.violations).isEmpty();
    }

    /**
     * Guards against a report that hides nodes that do not answer: one node is stopped and one is paused, and the
     * report has to name both.
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
        InForceReport.Line incomplete = inForce.dataCentres().get(1);
        assertThat(incomplete.nodes()).isEqualTo(20);
        assertThat(incomplete.holding()).isEqualTo(18);
        assertThat(incomplete.behind())
                .containsExactlyInAnyOrder(
                        fleet.nodes.get(25).self.id(), fleet.nodes.get(26).self.id());
        fleet.nodes.get(26).resume();
        fleet.advance(Duration.ofSeconds(1));
        assertThat(fleet.nodes.get(26).version()).isEqualTo(version);
    }

    /** Guards against a node that fails because of an unreadable message, sent by another program or a faulty peer. */
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
     * Guards against a node that keeps an old setting permanently: a middlebox between an isolated node and the store
     * loses the state of the connection of the watch, so that the watch gets neither an answer nor an error while new
     * calls work.
     */
    @Test
    void changeIsReadWhenWatchNeverReturns() {
        Fleet fleet = Fleet.of(9, 2, 1);
        FleetNode isolated = fleet.nodes.get(1);
        isolated.storeWrapper = store -> new MisreportingStore(store, lost -> lost) {
            @Override
            public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
                return new CompletableFuture<>();
            }
        };
        fleet.start();
        fleet.cut("dc-0", "dc-1", true);
        fleet.advance(Duration.ofSeconds(6));
        long version = accept(fleet, fleet.nodes.get(0), rank(5));
        fleet.advance(SPREAD_LIMIT);
        assertThat(fleet.behind(version)).isEmpty();
    }

    @Test
    void historyReadsChangesBeyondMemoryFromStore() {
        Fleet fleet = Fleet.of(10, 1, 2);
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
        for (int i = 0; i < ChangeLog.MAX_RECORDS + 20; i++) {
            accept(fleet, fleet.nodes.get(0), rank(i));
        }
        FleetNode node = fleet.nodes.get(1);
        var history = ConfigurationHistory.create(fleet.store, fleet.timers, node.activeConfiguration);
        assertThat(history.last(3).join()).extracting(ChangeRecord::version).containsExactly(274L, 275L, 276L);
        ChangeRecord first =
                history.last(ConfigurationHistory.MAX_CHANGES).join().get(0);
        assertThat(first.version()).isEqualTo(1);
        assertThat(first.operator()).isEqualTo("ann");
        assertThat(first.statement()).isEqualTo("set class c0 priority 0");
        assertThat(history.find(first.changeId()).join()).contains(first);
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        assertThat(history.last(ConfigurationHistory.MAX_CHANGES).join()).hasSize(ChangeLog.MAX_RECORDS);
    }
}
