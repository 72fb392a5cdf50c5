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

    private static final Duration SUBMISSION_LIMIT = Duration.ofSeconds(Submission.MAX_SECONDS);

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
        fleet.advance(SUBMISSION_LIMIT);
        return submitted.join();
    }

    private static long version(ChangeResult result) {
        return ((ChangeResult.Accepted) result).version();
    }

    /**
     * Guards against two accepted writes to one setting: two operators set one class at the same time on different
     * nodes, and the first operator would rely on a value that has been overwritten.
     */
    @Test
    void laterOfTwoChangesOfOneSettingConflictsWithFirstValueAndRemedy() {
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
    void concurrentChangesOfDifferentFieldsAreBothAccepted() {
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        ImmutableSet<String> writes = ImmutableSet.of("POST", "PUT", "PATCH", "DELETE");
        var ann = submit(first, "ann", new ConfigurationChange.MarkRoute("/orders", writes, false));
        var bob = submit(second, "bob", new ConfigurationChange.SetDeadline("/orders", writes, Duration.ofSeconds(7)));
        assertThat(result(ann)).isInstanceOf(ChangeResult.Accepted.class);
        assertThat(bob.join()).isInstanceOf(ChangeResult.Accepted.class);
        Route orders =
                first.activeConfiguration.current().find("POST", "/orders").orElseThrow();
        assertThat(orders.deadline()).isEqualTo(Duration.ofSeconds(7));
    }

    /**
     * Guards against overwriting a newer value: an operator on a node that lacks the last change sees the old value and
     * sets a new one.
     */
    @Test
    void changeBasedOnOutdatedVersionOfSettingConflicts() {
        long seen = version(result(submit(first, "ann", new SetClass("page", 1))));
        result(submit(first, "ann", new SetClass("page", 2)));
        var bob = second.writer.submit(new SetClass("page", 5), "bob", seen);
        assertThat(result(bob)).isInstanceOf(ChangeResult.Conflict.class);
        var future = second.writer.submit(new SetClass("page", 5), "bob", 99);
        assertThat(result(future)).isInstanceOf(ChangeResult.Rejected.class);
    }

    /**
     * Guards against a wrong result after a lost answer: the store applies the change, but its answer does not arrive.
     * With the result "not accepted", the operator would repeat the change or rely on the old value.
     */
    @Test
    void writeWithLostAnswerIsAcceptedAfterReadingBack() {
        result(submit(first, "ann", new SetClass("page", 1)));
        fleet.store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(10)));
        var ann = submit(first, "ann", new SetClass("page", 2));
        fleet.advance(Duration.ofMillis(14));
        fleet.store.setFaults(fleet.store.faults().withLoseNext(1));
        assertThat(result(ann)).isInstanceOf(ChangeResult.Accepted.class);
        assertThat(first.activeConfiguration.changes()).hasSize(2);
    }

    /**
     * Guards against the same fault when another operator's later change hides the change from a check of the head's
     * version alone.
     */
    @Test
    void writeWithLostAnswerIsAcceptedBeneathLaterChanges() {
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

    /**
     * Guards against a definite result for an undetermined write: the store stops answering during the write, so the
     * change may still take effect later.
     */
    @Test
    void unknownWithChangeIdWhenStoreStopsAnswering() {
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
     * Guards against a change that conflicts with itself: the client of the store repeats a write when its connection
     * breaks, and the second write conflicts with the first.
     */
    @Test
    void changeIsAcceptedWhenWriteIsSentTwice() {
        first.kill();
        first.storeWrapper = store -> new MisreportingStore(store, lost -> lost) {
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
    void changeIsNotAcceptedWhileStoreIsDown() {
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

    /**
     * Guards against a head and a store that grow with the number of changes, and against starting nodes that cannot
     * read all changes.
     */
    @Test
    void headStaysSmallAndStartingNodeReadsAllChanges() {
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
        assertThat(fresh).isEqualTo(first.activeConfiguration.current());
        assertThat(reader.changes(head, 0).join()).hasSize(count);
    }

    /**
     * Guards against changes that are accepted but in force on no node: the store is reset to an old copy, and new
     * changes would get versions that all nodes already hold.
     */
    @Test
    void lossOfChangesInStoreIsDetectedAndRestored() {
        result(submit(first, "ann", new SetClass("page", 1)));
        var old = fleet.store.get(StoreKeys.HEAD).join().orElseThrow();
        result(submit(first, "ann", new SetClass("page", 2)));
        var now = fleet.store.get(StoreKeys.HEAD).join().orElseThrow();
        fleet.store.compareAndSet(StoreKeys.HEAD, now.version(), old.value());
        assertThat(result(submit(first, "ann", new SetClass("search", 5))))
                .isInstanceOfSatisfying(
                        ChangeResult.NotAccepted.class,
                        notAccepted -> assertThat(notAccepted.remedy()).contains("restore"));
        long restored = version(result(first.writer.restore("ann")));
        assertThat(second.version()).isEqualTo(restored);
        assertThat(result(submit(second, "bob", new SetClass("search", 5)))).isInstanceOf(ChangeResult.Accepted.class);
        assertThat(first.activeConfiguration.current().toJson()).contains("\"priority\" : 2");
        assertThat(result(first.writer.restore("ann"))).isInstanceOf(ChangeResult.Rejected.class);
        assertThat(fleet.violations).isEmpty();
    }
}
