package io.beryldock.platform;

import static io.beryldock.store.RegistryStore.NO_LEASE;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.RegistryStore.Changes;
import io.beryldock.store.RegistryStore.ConditionalWrite;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.WriteOutcome;
import io.beryldock.store.RegistryStore.WriteOutcome.Kind;
import io.beryldock.store.StoreRevision;
import io.beryldock.store.WriteResult;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class KvStoreClientTest {

    private static final ByteString ONE = ByteString.copyFromUtf8("one");
    private static final ByteString TWO = ByteString.copyFromUtf8("two");
    private static final Duration WAIT = Duration.ofSeconds(2);

    private StorePair pair;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        pair = new StorePair();
    }

    @AfterEach
    void stop() {
        pair.close();
    }

    @Test
    void secondConditionalWriteWithTheSameConditionConflicts() throws Exception {
        WriteResult first = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, ONE));
        assertThat(first.kind()).isEqualTo(WriteResult.Kind.APPLIED);
        WriteResult second = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, TWO));
        assertThat(second.kind()).isEqualTo(WriteResult.Kind.CONFLICT);
        assertThat(second.current().orElseThrow().value()).isEqualTo(ONE);
        assertThat(StorePair.get(pair.client.get("k")).orElseThrow().version()).isEqualTo(first.version());
        assertThat(StorePair.get(pair.client.get("other"))).isEmpty();
    }

    /**
     * Guards against an operator's change that is reported as refused but takes effect later: the store applies the
     * write, its response is lost, and the client takes the loss for a refusal.
     */
    @Test
    void writeWithLostResponseHasUnknownResult() throws Exception {
        pair.store.setFault(StandinStore.Fault.ANSWER_LOST);
        WriteResult write = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, ONE));
        assertThat(write.kind()).isEqualTo(WriteResult.Kind.UNKNOWN);
        assertThat(pair.store.contains("k")).isTrue();
    }

    @Test
    void writeRefusedByStoreIsNotApplied() throws Exception {
        pair.store.setFault(StandinStore.Fault.BUSY);
        WriteResult write = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, ONE));
        assertThat(write.kind()).isEqualTo(WriteResult.Kind.NOT_APPLIED);
        assertThatThrownBy(() -> StorePair.get(pair.client.list("k"))).hasRootCauseInstanceOf(PlatformException.class);
    }

    @Test
    void watchReturnsChangesAndRemovals() throws Exception {
        StoreRevision revision = StorePair.get(pair.client.list("a/")).revision();
        CompletableFuture<Changes> watch = pair.client.changes("a/", revision, WAIT);
        pair.store.write("b/other", ONE);
        pair.store.write("a/1", ONE);
        Changes changes = StorePair.get(watch);
        assertThat(changes.entries()).extracting(Entry::key).containsExactly("a/1");
        long lease = StorePair.get(pair.client.grantLease(Duration.ofSeconds(3)));
        assertThat(write("a/2", TWO, lease, StoreRevision.NONE).kind()).isEqualTo(Kind.APPLIED);
        StorePair.get(pair.client.endLease(lease));
        Changes further = StorePair.get(pair.client.changes("a/", changes.revision(), WAIT));
        assertThat(further.entries())
                .extracting(Entry::value)
                .last()
                .satisfies(value -> assertThat(value).isEmpty());
    }

    /**
     * Guards against nodes that never learn of a new target: the store drops its history, and a watch from an earlier
     * revision stays open without a result.
     */
    @Test
    void watchFromDroppedHistoryReportsHistoryGone() throws Exception {
        pair.store.write("a/1", ONE);
        pair.store.write("a/2", ONE);
        pair.store.dropHistory();
        assertThat(StorePair.get(pair.client.changes("a/", new StoreRevision(1, 1), WAIT))
                        .historyGone())
                .isTrue();
    }

    @Test
    void expiredLeaseCanNeitherBeRenewedNorWrittenUnder() throws Exception {
        long lease = StorePair.get(pair.client.grantLease(Duration.ofSeconds(3)));
        assertThat(StorePair.get(pair.client.renewLease(lease))).isTrue();
        pair.store.expireLeases();
        assertThat(StorePair.get(pair.client.renewLease(lease))).isFalse();
        assertThat(write("a/1", ONE, lease, StoreRevision.NONE).kind()).isEqualTo(Kind.LEASE_ENDED);
    }

    private WriteOutcome write(String key, ByteString value, long lease, StoreRevision replaced) throws Exception {
        return StorePair.get(pair.client.write(ImmutableList.of(new ConditionalWrite(key, value, lease, replaced))));
    }

    /** Guards against a write that replaces a later one than its writer has seen. */
    @Test
    void writeOfAnotherRevisionConflictsAndReturnsTheCurrentEntries() throws Exception {
        StoreRevision first = write("a/1", ONE, NO_LEASE, StoreRevision.NONE).revision();
        StoreRevision second = write("a/1", TWO, NO_LEASE, first).revision();
        WriteOutcome late = write("a/1", ONE, NO_LEASE, first);
        assertThat(late.kind()).isEqualTo(Kind.CONFLICT);
        assertThat(late.current()).containsExactly(new Entry("a/1", second, Optional.of(TWO)));
    }

    /** Guards against a part of several writes that is applied although another part conflicts. */
    @Test
    void writesOfSeveralKeysAreAppliedTogetherOrNotAtAll() throws Exception {
        pair.store.write("a/2", ONE);
        ImmutableList<ConditionalWrite> writes = ImmutableList.of(
                new ConditionalWrite("a/1", ONE, NO_LEASE, StoreRevision.NONE),
                new ConditionalWrite("a/2", TWO, NO_LEASE, StoreRevision.NONE));
        WriteOutcome outcome = StorePair.get(pair.client.write(writes));
        assertThat(outcome.current()).extracting(Entry::key).containsExactly("a/2");
        assertThat(StorePair.get(pair.client.get("a/1"))).isEmpty();
    }

    /** Guards against a watch that continues from a revision that the store has lost in a restore. */
    @Test
    void watchFromRevisionLostInRestoreReportsHistoryGone() throws Exception {
        StandinStore.Snapshot snapshot = pair.store.snapshot();
        pair.store.write("a/1", ONE);
        StoreRevision known = StorePair.get(pair.client.list("a/")).revision();
        pair.store.restoreFrom(snapshot);
        assertThat(StorePair.get(pair.client.changes("a/", known, WAIT)).historyGone())
                .isTrue();
        assertThat(pair.client.eras().newest()).isEqualTo(known.era() + 1);
        assertThat(StorePair.get(pair.client.list("a/")).revision().isAfter(known))
                .isTrue();
    }

    /** Guards against a node that takes its entries for the newest although the store has changed since. */
    @Test
    void revisionRisesWithEachChangeAndIsThatOfListings() throws Exception {
        StoreRevision before = StorePair.get(pair.client.revision());
        pair.store.write("a/1", ONE);
        StoreRevision after = StorePair.get(pair.client.revision());
        assertThat(after.isAfter(before)).isTrue();
        assertThat(StorePair.get(pair.client.revision())).isEqualTo(after);
        assertThat(StorePair.get(pair.client.list("a/")).revision()).isEqualTo(after);
    }

    /** Guards against a conditional write that overwrites a foreign value, because its revision was assigned twice. */
    @Test
    void conditionalWriteWithVersionOfEarlierEraConflicts() throws Exception {
        StandinStore.Snapshot snapshot = pair.store.snapshot();
        WriteResult lost = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, ONE));
        pair.store.restoreFrom(snapshot);
        pair.store.write("k", TWO);
        StorePair.get(pair.client.revision());
        WriteResult late = StorePair.get(pair.client.compareAndSet("k", lost.version(), ONE));
        assertThat(late.kind()).isEqualTo(WriteResult.Kind.CONFLICT);
        assertThat(late.current().orElseThrow().value()).isEqualTo(TWO);
        assertThat(late.current().orElseThrow().version()).isGreaterThan(lost.version());
    }

    /** Guards against a write that is reported as applied although the replaced value is unknown. */
    @Test
    void conditionalWriteIntoUnseenEraHasUnknownResult() throws Exception {
        StandinStore.Snapshot snapshot = pair.store.snapshot();
        WriteResult lost = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, ONE));
        pair.store.restoreFrom(snapshot);
        pair.store.write("k", TWO);
        WriteResult late = StorePair.get(pair.client.compareAndSet("k", lost.version(), ONE));
        assertThat(late.kind()).isEqualTo(WriteResult.Kind.UNKNOWN);
    }

    @Test
    void watchReturnsTheValueOfTheNewEraAfterRestore() throws Exception {
        StandinStore.Snapshot snapshot = pair.store.snapshot();
        WriteResult lost = StorePair.get(pair.client.compareAndSet("k", PlatformStore.ABSENT, ONE));
        pair.store.restoreFrom(snapshot);
        pair.store.write("k", TWO);
        assertThat(StorePair.get(pair.client.watch("k", lost.version(), WAIT))
                        .orElseThrow()
                        .value())
                .isEqualTo(TWO);
    }
}
