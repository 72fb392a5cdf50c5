package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.configuration.ConfigurationChange.SetClass;
import io.beryldock.store.StoreFaults;
import io.beryldock.store.WriteResult;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ConfigurationWriterTest {

    private static final Duration LONG = Duration.ofSeconds(Submission.MOST_SECONDS);

    private final Fleet fleet = Fleet.of(11, 2, 1);
    private final FleetNode first = fleet.nodes.get(0);
    private final FleetNode second = fleet.nodes.get(1);

    ConfigurationWriterTest() {
        fleet.start();
        fleet.advance(Duration.ofSeconds(6));
    }

    private static CompletableFuture<ChangeResult> submit(FleetNode node, String operator, ConfigurationChange change) {
        return node.writer.submit(change, operator, ConfigurationWriter.VERSION_IN_FORCE);
    }

    private ChangeResult result(CompletableFuture<ChangeResult> submitted) {
        fleet.advance(LONG);
        return submitted.join();
    }

    private static long version(ChangeResult result) {
        return ((ChangeResult.Accepted) result).version();
    }

    /**
     * Two operators set one class at the same moment, at different nodes. If both were accepted, the first would
     * believe in a value that is gone.
     */
    @Test
    void laterOfTwoOnOneSettingGetsTheFirstValueAndTheRemedy() {
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        var ann = submit(first, "ann", new SetClass("page", 1));
        var bob = submit(second, "bob", new SetClass("page", 5));
        assertThat(result(ann)).isInstanceOf(ChangeResult.Accepted.class);
        ChangeResult.Conflict conflict = (ChangeResult.Conflict) bob.join();
        assertThat(conflict.setting()).isEqualTo("class page");
        assertThat(conflict.theirValue()).isEqualTo("priority 1");
        assertThat(conflict.by()).isEqualTo("ann");
        assertThat(conflict.remedy()).contains("based on version " + conflict.theirVersion());
        var again = second.writer.submit(new SetClass("page", 5), "bob", conflict.theirVersion());
        assertThat(result(again)).isInstanceOf(ChangeResult.Accepted.class);
    }

    @Test
    void changesOfDifferentSettingsBothLand() {
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        ImmutableSet<String> writes = ImmutableSet.of("POST", "PUT", "PATCH", "DELETE");
        var ann = submit(first, "ann", new ConfigurationChange.MarkRoute("/orders", writes, false));
        var bob = submit(second, "bob", new ConfigurationChange.SetDeadline("/orders", writes, Duration.ofSeconds(7)));
        assertThat(result(ann)).isInstanceOf(ChangeResult.Accepted.class);
        assertThat(bob.join()).isInstanceOf(ChangeResult.Accepted.class);
        Route orders = first.keeper.current().find("POST", "/orders").orElseThrow();
        assertThat(orders.deadline()).isEqualTo(Duration.ofSeconds(7));
    }

    /** An operator at a node that has not heard of the last change looks at the old value and sets it. */
    @Test
    void olderViewOfTheSameSettingConflicts() {
        long seen = version(result(submit(first, "ann", new SetClass("page", 1))));
        result(submit(first, "ann", new SetClass("page", 2)));
        var bob = second.writer.submit(new SetClass("page", 5), "bob", seen);
        assertThat(result(bob)).isInstanceOf(ChangeResult.Conflict.class);
        var future = second.writer.submit(new SetClass("page", 5), "bob", 99);
        assertThat(result(future)).isInstanceOf(ChangeResult.Rejected.class);
    }

    /**
     * The store applies the change and its answer is lost. Told "not accepted", the operator would do it again, or
     * believe in the old value while the new one is in force.
     */
    @Test
    void lostAnswerIsSettledByReadingBack() {
        result(submit(first, "ann", new SetClass("page", 1)));
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        var ann = submit(first, "ann", new SetClass("page", 2));
        fleet.advance(Duration.ofMillis(14));
        fleet.store.setFaults(fleet.store.faults().withLoseNext(1));
        assertThat(result(ann)).isInstanceOf(ChangeResult.Accepted.class);
        assertThat(first.keeper.changes()).hasSize(2);
    }

    /** The same, but another operator's change on top of it hides it from a look at the head's version alone. */
    @Test
    void lostAnswerIsSettledBeneathLaterChanges() {
        result(submit(first, "ann", new SetClass("page", 1)));
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        var ann = submit(first, "ann", new SetClass("page", 2));
        fleet.advance(Duration.ofMillis(14));
        fleet.store.setFaults(fleet.store.faults().withLoseNext(1));
        fleet.advance(Duration.ofMillis(10));
        for (int i = 0; i < 3 * StoreKeys.BLOCK; i++) {
            submit(second, "bob", new SetClass("c" + i, 1));
            fleet.advance(Duration.ofMillis(60));
        }
        assertThat(version(result(ann))).isEqualTo(2);
    }

    /** The store goes silent in mid-write: the change may land later, so neither yes nor no is true. */
    @Test
    void silentStoreGivesUnknownWithTheId() {
        result(submit(first, "ann", new SetClass("page", 1)));
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        var ann = submit(first, "ann", new SetClass("page", 2));
        fleet.advance(Duration.ofMillis(8));
        fleet.store.setFaults(StoreFaults.none().withSilent(true));
        ChangeResult.Unknown unknown = (ChangeResult.Unknown) result(ann);
        assertThat(unknown.changeId()).hasSize(32);
        assertThat(unknown.remedy()).contains("show changes");
    }

    /**
     * The store's client sends a write again when its connection breaks: the second sending is in conflict with the
     * first. The operator would be told of a conflict with his own change.
     */
    @Test
    void writeSentTwiceIsAccepted() {
        first.kill();
        first.storeSeenAs = store -> new StoreThatMistakes(store, lost -> lost) {
            @Override
            public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
                return super.compareAndSet(key, expectedVersion, value)
                        .thenCompose(done -> super.compareAndSet(key, expectedVersion, value));
            }
        };
        first.start();
        fleet.advance(Duration.ofSeconds(6));
        for (int i = 1; i <= 3 * StoreKeys.BLOCK; i++) {
            assertThat(version(result(submit(first, "ann", new SetClass("page", i % 8)))))
                    .isEqualTo(i);
        }
        assertThat(second.version()).isEqualTo(3 * StoreKeys.BLOCK);
    }

    @Test
    void storeDownIsNotAccepted() {
        fleet.store.setFaults(StoreFaults.none().withDown(true));
        assertThat(result(submit(first, "ann", new SetClass("page", 1)))).isInstanceOf(ChangeResult.NotAccepted.class);
        assertThat(first.version()).isZero();
    }

    @Test
    void dryRunWritesNothing() {
        var checked = first.writer.dryRun(new SetClass("page", 1), ConfigurationWriter.VERSION_IN_FORCE);
        assertThat(result(checked)).isEqualTo(new ChangeResult.Acceptable(0, "class page", "priority 3", "priority 1"));
        var bad = first.writer.dryRun(new SetClass("page", 9), ConfigurationWriter.VERSION_IN_FORCE);
        assertThat(result(bad)).isInstanceOf(ChangeResult.Rejected.class);
        assertThat(first.version()).isZero();
    }

    /** Thousands of changes must neither fill the head nor the store, and a node that starts must find them all. */
    @Test
    void headStaysSmallAndAStartingNodeReadsItAll() {
        int count = 3 * StoreKeys.SNAPSHOT_SPACING + 5;
        for (int i = 0; i < count; i++) {
            var result = submit(first, "ann", new SetClass("c" + i % 300, i % 8));
            fleet.advance(Duration.ofMillis(20));
            assertThat(version(result.join())).isEqualTo(i + 1);
        }
        ConfigurationStore reader = ConfigurationStore.of(fleet.store);
        StoredHead head = reader.readHead().join().orElseThrow();
        assertThat(head.records()).hasSizeLessThanOrEqualTo(2 * StoreKeys.BLOCK);
        assertThat(head.version() - head.snapshot().version())
                .isLessThan(StoreKeys.SNAPSHOT_SPACING + 2 * StoreKeys.BLOCK);
        Configuration fresh = reader.load(head, FleetNode.defaults()).join().configuration();
        assertThat(fresh).isEqualTo(first.keeper.current());
        assertThat(reader.changes(head, 0).join()).hasSize(count);
    }

    /**
     * The store is set back to an old copy. New changes would get versions that all nodes hold already: accepted, and
     * in force nowhere.
     */
    @Test
    void storeThatLostChangesIsNoticedAndRestored() {
        result(submit(first, "ann", new SetClass("page", 1)));
        var old = fleet.store.get(StoreKeys.HEAD).join().orElseThrow();
        result(submit(first, "ann", new SetClass("page", 2)));
        var now = fleet.store.get(StoreKeys.HEAD).join().orElseThrow();
        fleet.store.compareAndSet(StoreKeys.HEAD, now.version(), old.value());
        assertThat(result(submit(first, "ann", new SetClass("search", 5))))
                .isInstanceOfSatisfying(
                        ChangeResult.NotAccepted.class,
                        told -> assertThat(told.remedy()).contains("restore"));
        long restored = version(result(first.writer.restore("ann")));
        assertThat(second.version()).isEqualTo(restored);
        assertThat(result(submit(second, "bob", new SetClass("search", 5)))).isInstanceOf(ChangeResult.Accepted.class);
        assertThat(first.keeper.current().toJson()).contains("\"priority\" : 2");
        assertThat(result(first.writer.restore("ann"))).isInstanceOf(ChangeResult.Rejected.class);
        assertThat(fleet.violations).isEmpty();
    }
}
