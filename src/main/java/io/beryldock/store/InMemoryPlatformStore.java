package io.beryldock.store;

import com.google.protobuf.ByteString;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * An in-memory platform store for tests and stand-in servers, with faults that can be switched at any time.
 *
 * <p>Thread safe: one lock guards all state, and futures complete outside of it. Without a delay a call completes
 * before it returns. Invariants: the version of a key rises by one with each write; a call takes effect at most once; a
 * call completes within the answer timeout, and a watch within the answer timeout after its wait. With a manual timer
 * service and a seeded generator each run is reproducible.
 */
public final class InMemoryPlatformStore implements PlatformStore {

    /** Time after which a call without an answer fails. */
    public static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

    private static final String REMEDY = "; go on with what is known and ask again later";

    private final TimerService timers;
    private final RandomGenerator random;
    private final Object lock = new Object();
    private final Map<String, StoredValue> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, List<Watch>> watches = new HashMap<>();
    private StoreFaults faults = StoreFaults.none();
    private int answersToLose;
    private StoreCallCounts counts = new StoreCallCounts(0, 0, 0, 0);

    private InMemoryPlatformStore(TimerService timers, RandomGenerator random) {
        this.timers = timers;
        this.random = random;
    }

    public static InMemoryPlatformStore create(TimerService timers, RandomGenerator random) {
        return new InMemoryPlatformStore(timers, random);
    }

    public StoreFaults faults() {
        synchronized (lock) {
            return faults;
        }
    }

    /** Replaces the current faults. Pending watches fail when the new faults make the store unreachable. */
    public void setFaults(StoreFaults next) {
        List<Watch> failed = new ArrayList<>();
        synchronized (lock) {
            faults = next;
            answersToLose = next.loseNext();
            if (next.unreachable()) {
                watches.values().forEach(failed::addAll);
                watches.clear();
            }
        }
        failed.forEach(watch -> watch.answer.completeExceptionally(unreachable()));
    }

    /** Ends every lease now, regardless of its holder. */
    public void lapseLeases() {
        synchronized (lock) {
            leases.clear();
        }
    }

    public StoreCallCounts counts() {
        synchronized (lock) {
            return counts;
        }
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        count(1, 0, 0, 0);
        return read(() -> Optional.ofNullable(values.get(key)));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        count(0, 1, 0, 0);
        if (value.size() > MAX_VALUE_BYTES || faults().unreachable()) {
            return CompletableFuture.completedFuture(WriteResult.notApplied());
        }
        CompletableFuture<WriteResult> answer = new CompletableFuture<>();
        serve(answer, () -> write(key, expectedVersion, value), () -> answer.complete(WriteResult.unknown()));
        return answer;
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        count(0, 0, 1, 0);
        return read(() -> takeLease(name, holder, length));
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        count(0, 0, 0, 1);
        CompletableFuture<Optional<StoredValue>> answer = new CompletableFuture<>();
        Watch watch = new Watch(key, afterVersion, answer);
        Optional<StoredValue> known;
        synchronized (lock) {
            if (faults.unreachable()) {
                return CompletableFuture.failedFuture(unreachable());
            }
            known = faults.silent() ? Optional.empty() : newer(key, afterVersion);
            if (known.isEmpty()) {
                watches.computeIfAbsent(key, name -> new ArrayList<>()).add(watch);
            }
        }
        if (known.isPresent()) {
            answer.complete(known);
        } else {
            TimerService.Subscription timer = timers.after(wait, () -> endWatch(watch));
            cancelOnCompletion(answer, timer);
        }
        return answer;
    }

    private <T> CompletableFuture<T> read(Supplier<T> effect) {
        if (faults().unreachable()) {
            return CompletableFuture.failedFuture(unreachable());
        }
        CompletableFuture<T> answer = new CompletableFuture<>();
        serve(answer, effect, () -> answer.completeExceptionally(noAnswer()));
        return answer;
    }

    /** Applies the effect after half of the delay and answers after the other half, unless call or answer is lost. */
    private <T> void serve(CompletableFuture<T> answer, Supplier<T> effect, Runnable onTimeout) {
        StoreFaults current = faults();
        if (current.silent() || !current.delay().isZero()) {
            scheduleTimeout(answer, onTimeout);
        }
        if (current.silent()) {
            return;
        }
        Duration half = current.delay().dividedBy(2);
        delayed(half, () -> {
            T result = locked(effect);
            if (isAnswerLost()) {
                scheduleTimeout(answer, onTimeout);
                return;
            }
            delayed(half, () -> answer.complete(result));
        });
    }

    private <T> T locked(Supplier<T> effect) {
        synchronized (lock) {
            return effect.get();
        }
    }

    private void delayed(Duration delay, Runnable task) {
        if (delay.isZero()) {
            task.run();
        } else {
            timers.after(delay, task);
        }
    }

    private void scheduleTimeout(CompletableFuture<?> answer, Runnable onTimeout) {
        TimerService.Subscription timer = timers.after(ANSWER_TIMEOUT, onTimeout);
        cancelOnCompletion(answer, timer);
    }

    private static void cancelOnCompletion(CompletableFuture<?> answer, TimerService.Subscription timer) {
        var unused = answer.whenComplete((value, failure) -> timer.cancel());
    }

    private boolean isAnswerLost() {
        synchronized (lock) {
            if (answersToLose > 0) {
                answersToLose--;
                return true;
            }
            return faults.loseShare() > 0 && random.nextDouble() < faults.loseShare();
        }
    }

    private WriteResult write(String key, long expectedVersion, ByteString value) {
        StoredValue before = values.get(key);
        long version = before == null ? ABSENT : before.version();
        if (version != expectedVersion) {
            return WriteResult.conflict(Optional.ofNullable(before));
        }
        StoredValue after = new StoredValue(version + 1, value);
        values.put(key, after);
        List<Watch> waiting = watches.remove(key);
        if (waiting != null) {
            waiting.forEach(watch -> timers.after(Duration.ZERO, () -> watch.answer.complete(Optional.of(after))));
        }
        return WriteResult.applied(after.version());
    }

    private boolean takeLease(String name, String holder, Duration length) {
        long now = timers.ticker().nanos();
        Lease lease = leases.get(name);
        boolean free = lease == null || lease.expiresAt - now <= 0 || lease.holder.equals(holder);
        if (free) {
            long held = faults.lapsingLeases() ? 0 : length.toNanos();
            leases.put(name, new Lease(holder, now + held));
        }
        return free;
    }

    private Optional<StoredValue> newer(String key, long afterVersion) {
        return Optional.ofNullable(values.get(key)).filter(value -> value.version() > afterVersion);
    }

    private void endWatch(Watch watch) {
        synchronized (lock) {
            List<Watch> waiting = watches.get(watch.key);
            if (waiting != null) {
                waiting.remove(watch);
            }
        }
        watch.answer.complete(Optional.empty());
    }

    private void count(int reads, int writes, int leaseCalls, int watchCalls) {
        synchronized (lock) {
            counts = new StoreCallCounts(
                    counts.reads() + reads,
                    counts.writes() + writes,
                    counts.leases() + leaseCalls,
                    counts.watches() + watchCalls);
        }
    }

    private static PlatformException unreachable() {
        return new PlatformException("the platform store can't be reached" + REMEDY);
    }

    private static PlatformException noAnswer() {
        return new PlatformException("no answer from the platform store in " + ANSWER_TIMEOUT + REMEDY);
    }

    private record Lease(String holder, long expiresAt) {}

    private record Watch(String key, long afterVersion, CompletableFuture<Optional<StoredValue>> answer) {}
}
