package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A registry in memory whose outages are switched by hand; each caller may be turned away. Not thread safe. */
public final class FakeRegistry {

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

    private final TimerService timers;
    private final TreeMap<String, RegistryStore.Entry> items = new TreeMap<>();
    private final List<RegistryStore.Entry> history = new ArrayList<>();
    private final Map<Long, List<String>> leases = new TreeMap<>();
    private final List<Runnable> watches = new ArrayList<>();
    private long revision = 1;
    private long nextLease = 1;

    public FakeRegistry(TimerService timers) {
        this.timers = timers;
    }

    /** A view of the store that can be cut off from it. */
    public View view() {
        return new View();
    }

    /** Ends all leases, as an outage does that outlasts them. */
    public void lapse() {
        List<String> keys = leases.values().stream().flatMap(List::stream).toList();
        leases.clear();
        keys.forEach(this::remove);
    }

    public void write(String key, ByteString value) {
        revision++;
        record(new RegistryStore.Entry(key, revision, Optional.of(value)));
    }

    public boolean holds(String key) {
        return items.containsKey(key);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            record(new RegistryStore.Entry(key, revision, Optional.empty()));
        }
    }

    private void record(RegistryStore.Entry entry) {
        if (entry.value().isPresent()) {
            items.put(entry.key(), entry);
        }
        history.add(entry);
        List.copyOf(watches).forEach(Runnable::run);
    }

    /** One node's way to the store. */
    public final class View implements RegistryStore {
        private boolean down;
        private boolean silent;
        private int calls;
        private Supplier<Duration> delay = () -> Duration.ZERO;

        /** Readings reach the store after a delay, and their answers come back after another. */
        public void setDelay(Supplier<Duration> value) {
            delay = value;
        }

        /** Lists, watches and writes so far; renewals cost next to nothing and don't count. */
        public int calls() {
            return calls;
        }

        public void setDown(boolean value) {
            down = value;
        }

        /** Calls made while it is silent get no answer, and those that waited before never do. */
        public void setSilent(boolean value) {
            silent = value;
        }

        private <T> CompletableFuture<T> answer(T value) {
            if (silent) {
                CompletableFuture<T> none = new CompletableFuture<>();
                timers.after(ANSWER_TIMEOUT, () -> none.completeExceptionally(new PlatformException("no answer")));
                return none;
            }
            return down
                    ? CompletableFuture.failedFuture(new PlatformException("the store is down"))
                    : CompletableFuture.completedFuture(value);
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            calls++;
            Duration there = delay.get();
            if (there.isZero()) {
                return answer(listing(prefix));
            }
            CompletableFuture<Listing> late = new CompletableFuture<>();
            timers.after(there, () -> {
                Listing found = listing(prefix);
                timers.after(
                        delay.get(),
                        () -> answer(found).whenComplete((listing, failure) -> {
                            if (failure == null) {
                                late.complete(listing);
                            } else {
                                late.completeExceptionally(failure);
                            }
                        }));
            });
            return late;
        }

        private Listing listing(String prefix) {
            return new Listing(
                    items.values().stream()
                            .filter(item -> item.key().startsWith(prefix))
                            .collect(ImmutableList.toImmutableList()),
                    revision);
        }

        @Override
        public CompletableFuture<Changes> changes(String prefix, long after, Duration wait) {
            calls++;
            CompletableFuture<Changes> future = new CompletableFuture<>();
            Runnable[] watch = new Runnable[1];
            boolean[] silenced = new boolean[1];
            watch[0] = () -> {
                ImmutableList<Entry> found = history.stream()
                        .filter(entry -> entry.revision() > after && entry.key().startsWith(prefix))
                        .collect(ImmutableList.toImmutableList());
                silenced[0] |= silent;
                if (!found.isEmpty() && !down && !silenced[0] && watches.remove(watch[0])) {
                    future.complete(new Changes(false, found, revision));
                }
            };
            watches.add(watch[0]);
            timers.after(wait, () -> {
                watches.remove(watch[0]);
                if (down || silenced[0]) {
                    future.completeExceptionally(new PlatformException("the store is down"));
                } else {
                    future.complete(new Changes(false, ImmutableList.of(), Math.max(after, revision)));
                }
            });
            watch[0].run();
            return future;
        }

        @Override
        public CompletableFuture<Void> probe() {
            return answer(null);
        }

        @Override
        public CompletableFuture<Long> grantLease(Duration length) {
            calls++;
            if (!down) {
                leases.put(nextLease, new ArrayList<>());
            }
            return answer(down ? 0 : nextLease++);
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long lease) {
            return answer(leases.containsKey(lease));
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            if (!down && leases.containsKey(lease)) {
                leases.remove(lease).forEach(FakeRegistry.this::remove);
            }
            return answer(null);
        }

        @Override
        public CompletableFuture<Boolean> put(String key, ByteString value, long lease) {
            calls++;
            boolean alive = leases.containsKey(lease);
            if (!down && alive) {
                leases.get(lease).add(key);
                write(key, value);
            }
            return answer(alive);
        }
    }
}
