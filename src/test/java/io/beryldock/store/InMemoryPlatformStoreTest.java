package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class InMemoryPlatformStoreTest {

    private static final ByteString ONE = ByteString.copyFromUtf8("one");
    private static final ByteString TWO = ByteString.copyFromUtf8("two");
    private static final Duration LEASE = Duration.ofSeconds(10);

    private final ManualTimerService timers = ManualTimerService.create();
    private final InMemoryPlatformStore store = InMemoryPlatformStore.create(timers, new SplittableRandom(1));

    @Test
    void secondWriteWithTheSameExpectedVersionIsAConflict() {
        assertThat(store.compareAndSet("key", 0, ONE)).isCompletedWithValue(WriteResult.applied(1));
        assertThat(store.compareAndSet("key", 0, TWO))
                .isCompletedWithValue(WriteResult.conflict(Optional.of(new StoredValue(1, ONE))));
    }

    /** The write takes effect but its answer is lost: the result is pending until the timeout, then unknown. */
    @Test
    void writeWhoseAnswerIsLostIsUnknownAfterTheTimeout() {
        store.setFaults(StoreFaults.none().withLoseNext(1));
        CompletableFuture<WriteResult> lost = store.compareAndSet("key", 0, ONE);
        assertThat(lost).isNotDone();
        assertThat(store.get("key")).isCompletedWithValue(Optional.of(new StoredValue(1, ONE)));
        timers.advance(InMemoryPlatformStore.ANSWER_TIMEOUT);
        assertThat(lost).isCompletedWithValue(WriteResult.unknown());
    }

    @Test
    void writeToAStoreThatIsDownIsNotApplied() {
        store.setFaults(StoreFaults.none().withDown(true));
        assertThat(store.compareAndSet("key", 0, ONE)).isCompletedWithValue(WriteResult.notApplied());
        assertThatThrownBy(store.get("key")::get).hasCauseInstanceOf(PlatformException.class);
        store.setFaults(StoreFaults.none());
        assertThat(store.get("key")).isCompletedWithValue(Optional.empty());
    }

    @Test
    void writeToASilentStoreHasNoEffectAndIsUnknown() {
        store.setFaults(StoreFaults.none().withSilent(true));
        CompletableFuture<WriteResult> write = store.compareAndSet("key", 0, ONE);
        timers.advance(InMemoryPlatformStore.ANSWER_TIMEOUT);
        assertThat(write).isCompletedWithValue(WriteResult.unknown());
        store.setFaults(StoreFaults.none());
        assertThat(store.get("key")).isCompletedWithValue(Optional.empty());
    }

    /** The delay of the store exceeds the timeout: the write is reported as unknown and still takes effect later. */
    @Test
    void writeSlowerThanTheTimeoutIsUnknownAndStillTakesEffect() {
        store.setFaults(StoreFaults.none().withDelay(Duration.ofSeconds(4)));
        CompletableFuture<WriteResult> write = store.compareAndSet("key", 0, ONE);
        timers.advance(Duration.ofSeconds(1));
        assertThat(write).isCompletedWithValue(WriteResult.unknown());
        timers.advance(Duration.ofSeconds(1));
        store.setFaults(StoreFaults.none());
        assertThat(store.get("key")).isCompletedWithValue(Optional.of(new StoredValue(1, ONE)));
    }

    /**
     * Guards against two holders of one lease: a holder is paused, its lease expires and another holder takes it. After
     * the pause the first holder must not get the lease.
     */
    @Test
    void expiredLeaseIsGrantedToAnotherHolder() {
        assertThat(store.lease("watcher", "node 1", LEASE)).isCompletedWithValue(true);
        assertThat(store.lease("watcher", "node 2", LEASE)).isCompletedWithValue(false);
        timers.advance(LEASE);
        assertThat(store.lease("watcher", "node 2", LEASE)).isCompletedWithValue(true);
        assertThat(store.lease("watcher", "node 1", LEASE)).isCompletedWithValue(false);
    }

    @Test
    void lapsingLeaseIsGrantedToTwoHolders() {
        store.setFaults(StoreFaults.none().withLapsingLeases(true));
        assertThat(store.lease("watcher", "node 1", LEASE)).isCompletedWithValue(true);
        assertThat(store.lease("watcher", "node 2", LEASE)).isCompletedWithValue(true);
    }

    @Test
    void watchCompletesWithANewerVersionOrEmptyAfterItsWait() {
        CompletableFuture<Optional<StoredValue>> watch = store.watch("key", 0, LEASE);
        assertThat(store.compareAndSet("key", 0, ONE)).isCompleted();
        timers.advance(Duration.ofNanos(1));
        assertThat(watch).isCompletedWithValue(Optional.of(new StoredValue(1, ONE)));
        CompletableFuture<Optional<StoredValue>> idle = store.watch("key", 1, LEASE);
        timers.advance(LEASE);
        assertThat(idle).isCompletedWithValue(Optional.empty());
    }

    @Test
    void watchFailsWhenTheStoreGoesDown() {
        CompletableFuture<Optional<StoredValue>> watch = store.watch("key", 0, LEASE);
        store.setFaults(StoreFaults.none().withDown(true));
        assertThat(watch).isCompletedExceptionally();
    }

    /** With lost answers the version of a key counts the writes that took effect, and reported results are correct. */
    @Property(tries = 200)
    void lostAnswersNeverCauseAFalseResult(@ForAll long seed) {
        ManualTimerService clock = ManualTimerService.create();
        SplittableRandom random = new SplittableRandom(seed);
        InMemoryPlatformStore lossy = InMemoryPlatformStore.create(clock, random.split());
        lossy.setFaults(StoreFaults.none().withLoseShare(0.3));
        long minVersion = 0;
        long currentVersion = 0;
        for (int i = 0; i < 50; i++) {
            CompletableFuture<WriteResult> write =
                    lossy.compareAndSet("key", random.nextInt(4) == 0 ? 0 : currentVersion, ONE);
            clock.advance(InMemoryPlatformStore.ANSWER_TIMEOUT);
            WriteResult.Kind kind = write.join().kind();
            minVersion += kind == WriteResult.Kind.APPLIED ? 1 : 0;
            lossy.setFaults(StoreFaults.none());
            currentVersion = lossy.get("key").join().map(StoredValue::version).orElse(0L);
            lossy.setFaults(StoreFaults.none().withLoseShare(0.3));
            assertThat(currentVersion).isGreaterThanOrEqualTo(minVersion);
            minVersion = kind == WriteResult.Kind.UNKNOWN ? currentVersion : minVersion;
            assertThat(minVersion).isEqualTo(currentVersion);
        }
    }
}
