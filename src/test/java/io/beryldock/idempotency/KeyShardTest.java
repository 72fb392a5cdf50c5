package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.membership.Directory;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoreCallCounts;
import io.beryldock.store.StoreFaults;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link KeyShard}. */
final class KeyShardTest {

    private static final KeySettings SETTINGS = KeySettings.defaults();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ManualTimerService timers = ManualTimerService.create();
    private final InMemoryPlatformStore store = InMemoryPlatformStore.create(timers, new Random(1));
    private final Random random = new Random(2);

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 50, 150})
    void writeRateIsBoundedUnderAnyLoad(int ordersPerSecond) {
        store.setFaults(StoreFaults.none().withDelay(Duration.ofMillis(4)));
        KeyShard shard = shard(SETTINGS, store);
        int seconds = 60;
        List<CompletableFuture<BindResult>> results = new ArrayList<>();
        for (int i = 0; i < seconds * ordersPerSecond; i++) {
            results.add(shard.bind(binding(), TIMEOUT));
            timers.advance(Duration.ofSeconds(1).dividedBy(ordersPerSecond));
        }
        timers.advance(TIMEOUT);
        assertThat(results).allMatch(future -> future.join() instanceof BindResult.Bound);
        StoreCallCounts counts = store.counts();
        System.out.printf(
                "one shard, %d keys/s: %.1f writes and %.1f reads per 1000 keys, %.2f writes/s%n",
                ordersPerSecond,
                1000.0 * counts.writes() / results.size(),
                1000.0 * counts.reads() / results.size(),
                counts.writes() / (double) seconds);
        long sealing = 2L;
        assertThat(counts.writes()).isLessThanOrEqualTo(Math.min(results.size() + sealing, seconds * 5L + 1));
        assertThat(counts.reads()).isEqualTo(1);
    }

    /**
     * Guards against a shard that grows beyond the store's maximum value size, after which the store would reject every
     * write and no further key could be bound. Dropping the oldest keys instead would let an order run twice, so new
     * keys are refused until the next generation opens.
     */
    @Test
    void fullDocumentRefusesKeysUntilNextGeneration() {
        KeySettings small = withDocumentBytes(4_000);
        KeyShard shard = shard(small, store);
        int bound = 0;
        BindResult result = bind(shard, binding());
        while (result instanceof BindResult.Bound) {
            bound++;
            result = bind(shard, binding());
        }
        assertThat(result).isInstanceOf(BindResult.Unknown.class);
        assertThat(bound).isGreaterThan(20);
        timers.advance(small.generationAge());
        assertThat(bind(shard, binding())).isInstanceOf(BindResult.Bound.class);
    }

    /**
     * Guards against a key that is lost before its retention period ends because its document was overwritten, and
     * against keys that are retained indefinitely.
     */
    @Test
    void keyIsRetainedForTheRetentionPeriodOnly() {
        KeyShard shard = shard(SETTINGS, store);
        KeyBinding first = binding();
        bind(shard, first);
        Duration kept = SETTINGS.generationAge().multipliedBy(SETTINGS.generations() - 1);
        Duration step = SETTINGS.generationAge().dividedBy(2);
        for (Duration age = Duration.ZERO; age.compareTo(kept) < 0; age = age.plus(step)) {
            KeyBinding again = new KeyBinding(first.key(), first.scope(), Optional.of(ticket()));
            assertThat(bind(shard(SETTINGS, store), again))
                    .isEqualTo(new BindResult.Bound(first.ticket().get()));
            bind(shard, binding());
            timers.advance(step);
        }
        for (int i = 0; i < 4; i++) {
            bind(shard, binding());
            timers.advance(step);
        }
        KeyBinding later = new KeyBinding(first.key(), first.scope(), Optional.of(ticket()));
        assertThat(bind(shard(SETTINGS, store), later))
                .isEqualTo(new BindResult.Bound(later.ticket().get()));
    }

    @Test
    void documentAtMaximumSizeFitsIntoTheStore() {
        List<KeyBinding> bindings = new ArrayList<>();
        int count = 5_000;
        for (int i = 0; i < count; i++) {
            bindings.add(binding());
        }
        KeyDocument document = KeyDocument.open(1, 0).withBindings(bindings);
        int bytes = document.toBytes().size() / count;
        System.out.printf("a binding whose home occurs nowhere else in the document takes %d bytes%n", bytes);
        assertThat(bytes).isLessThan(KeyShard.MAX_BINDING_BYTES);
        assertThat(SETTINGS.maxDocumentBytes() + KeyShard.MAX_BINDING_BYTES).isLessThan(PlatformStore.MAX_VALUE_BYTES);
        assertThat(bindings).allMatch(binding -> document.find(binding.key()).equals(Optional.of(binding)));
    }

    private BindResult bind(KeyShard shard, KeyBinding proposal) {
        CompletableFuture<BindResult> result = shard.bind(proposal, TIMEOUT);
        timers.advance(Duration.ofMillis(500));
        return result.join();
    }

    private KeyBinding binding() {
        CallerKey key = new CallerKey(random.nextLong(), random.nextLong());
        return new KeyBinding(key, new KeyScope(random.nextLong(), random.nextLong()), Optional.of(ticket()));
    }

    /** A ticket of a distinct home, as when keys arrive at many entry nodes. */
    private TicketId ticket() {
        TicketHome home = TicketHome.of(KeyedFixtures.node("gent-a-lists-1", random.nextLong()));
        return new TicketId(home, random.nextInt(100_000), random.nextLong());
    }

    private static KeySettings withDocumentBytes(int bytes) {
        return new KeySettings(
                SETTINGS.prefix(),
                SETTINGS.shards(),
                SETTINGS.generations(),
                SETTINGS.generationAge(),
                SETTINGS.writeGap(),
                SETTINGS.retryGap(),
                SETTINGS.timeout(),
                bytes);
    }

    private KeyShard shard(KeySettings settings, PlatformStore platform) {
        IdempotencyPorts ports = new IdempotencyPorts(
                KeyedFixtures.node("batcher", 1),
                Directory::empty,
                (call, identity) -> new CompletableFuture<>(),
                (peer, request, timeout) -> new CompletableFuture<>(),
                platform,
                timers,
                Runnable::run,
                random,
                EventSink.none());
        return KeyShard.create(0, ports, settings);
    }
}
