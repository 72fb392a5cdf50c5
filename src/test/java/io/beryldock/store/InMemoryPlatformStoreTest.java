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
    void ofTwoWritersOverOneVersionOneWins() {
        assertThat(store.compareAndSet("key", 0, ONE)).isCompletedWithValue(WriteResult.applied(1));
        assertThat(store.compareAndSet("key", 0, TWO))
                .isCompletedWithValue(WriteResult.conflict(Optional.of(new StoredValue(1, ONE))));
    }

    /** The write took effect and its answer was lost: the writer hears nothing, then that it can't know. */
    @Test
    void aLostAnswerIsUnknownAfterTheTimeout() {
        store.setFaults(StoreFaults.none().withLoseNext(1));
        CompletableFuture<WriteResult> lost = store.compareAndSet("key", 0, ONE);
        assertThat(lost).isNotDone();
        assertThat(store.get("key")).isCompletedWithValue(Optional.of(new StoredValue(1, ONE)));
        timers.advance(InMemoryPlatformStore.ANSWER_TIMEOUT);
        assertThat(lost).isCompletedWithValue(WriteResult.unknown());
    }

    @Test
    void aStoreThatIsDownAppliesNothingAndSaysSo() {
        store.setFaults(StoreFaults.none().withDown(true));
        assertThat(store.compareAndSet("key", 0, ONE)).isCompletedWithValue(WriteResult.notApplied());
        assertThatThrownBy(store.get("key")::get).hasCauseInstanceOf(PlatformException.class);
        store.setFaults(StoreFaults.none());
        assertThat(store.get("key")).isCompletedWithValue(Optional.empty());
    }

    @Test
    void aSilentStoreHasNoEffectAndNoAnswer() {
        store.setFaults(StoreFaults.none().withSilent(true));
        CompletableFuture<WriteResult> write = store.compareAndSet("key", 0, ONE);
        timers.advance(InMemoryPlatformStore.ANSWER_TIMEOUT);
        assertThat(write).isCompletedWithValue(WriteResult.unknown());
        store.setFaults(StoreFaults.none());
        assertThat(store.get("key")).isCompletedWithValue(Optional.empty());
    }

    /** A slow store takes longer than the writer waits: told unknown, the write still lands later. */
    @Test
    void aCallSlowerThanTheTimeoutMayStillTakeEffect() {
        store.setFaults(StoreFaults.none().withDelay(Duration.ofSeconds(4)));
        CompletableFuture<WriteResult> write = store.compareAndSet("key", 0, ONE);
        timers.advance(Duration.ofSeconds(1));
        assertThat(write).isCompletedWithValue(WriteResult.unknown());
        timers.advance(Duration.ofSeconds(1));
        store.setFaults(StoreFaults.none());
        assertThat(store.get("key")).isCompletedWithValue(Optional.of(new StoredValue(1, ONE)));
    }

    /**
     * A holder is paused, its lease lapses, another takes it; the first, resumed, must not be told that it holds
     * it.
     */
    @Test
    void aLapsedLeaseGoesToAnother() {
        assertThat(store.lease("watcher", "node 1", LEASE)).isCompletedWithValue(true);
        assertThat(store.lease("watcher", "node 2", LEASE)).isCompletedWithValue(false);
        timers.advance(LEASE);
        assertThat(store.lease("watcher", "node 2", LEASE)).isCompletedWithValue(true);
        assertThat(store.lease("watcher", "node 1", LEASE)).isCompletedWithValue(false);
    }

    @Test
    void withLapsingLeasesTwoMayHoldOneAtOnce() {
        store.setFaults(StoreFaults.none().withLapsingLeases(true));
        assertThat(store.lease("watcher", "node 1", LEASE)).isCompletedWithValue(true);
        assertThat(store.lease("watcher", "node 2", LEASE)).isCompletedWithValue(true);
    }

    @Test
    void aWatchEndsWithANewerVersionOrAtItsEnd() {
        CompletableFuture<Optional<StoredValue>> watch = store.watch("key", 0, LEASE);
        assertThat(store.compareAndSet("key", 0, ONE)).isCompleted();
        timers.advance(Duration.ofNanos(1));
        assertThat(watch).isCompletedWithValue(Optional.of(new StoredValue(1, ONE)));
        CompletableFuture<Optional<StoredValue>> idle = store.watch("key", 1, LEASE);
        timers.advance(LEASE);
        assertThat(idle).isCompletedWithValue(Optional.empty());
    }

    @Test
    void aWatchFailsWhenTheStoreGoesDown() {
        CompletableFuture<Optional<StoredValue>> watch = store.watch("key", 0, LEASE);
        store.setFaults(StoreFaults.none().withDown(true));
        assertThat(watch).isCompletedExceptionally();
    }

    /** Whatever is lost, a key's version counts the writes that took effect, and a told result is never false. */
    @Property(tries = 200)
    void noToldResultIsFalse(@ForAll long seed) {
        ManualTimerService clock = ManualTimerService.create();
        SplittableRandom random = new SplittableRandom(seed);
        InMemoryPlatformStore lossy = InMemoryPlatformStore.create(clock, random.split());
        lossy.setFaults(StoreFaults.none().withLoseShare(0.3));
        long least = 0;
        long most = 0;
        for (int i = 0; i < 50; i++) {
            CompletableFuture<WriteResult> write = lossy.compareAndSet("key", random.nextInt(4) == 0 ? 0 : most, ONE);
            clock.advance(InMemoryPlatformStore.ANSWER_TIMEOUT);
            WriteResult.Kind kind = write.join().kind();
            least += kind == WriteResult.Kind.APPLIED ? 1 : 0;
            lossy.setFaults(StoreFaults.none());
            most = lossy.get("key").join().map(StoredValue::version).orElse(0L);
            lossy.setFaults(StoreFaults.none().withLoseShare(0.3));
            assertThat(most).isGreaterThanOrEqualTo(least);
            least = kind == WriteResult.Kind.UNKNOWN ? most : least;
            assertThat(least).isEqualTo(most);
        }
    }
}
