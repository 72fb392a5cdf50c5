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
    private final List<Watch> watches = new ArrayList<>();
    private long era = 1;
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
        record(new RegistryStore.Entry(key, at(), Optional.of(value)));
    }

    public boolean holds(String key) {
        return items.containsKey(key);
    }

    /** What the store holds now, to come back from later. */
    public Copy copy() {
        Map<Long, List<String>> copied = new TreeMap<>();
        leases.forEach((lease, keys) -> copied.put(lease, List.copyOf(keys)));
        return new Copy(Map.copyOf(items), List.copyOf(history), copied, revision);
    }

    /** Loses all that was done since the copy was made; watches under way are cut. */
    public void comeBackFrom(Copy copy) {
        era++;
        items.clear();
        copy.items().forEach((key, item) -> items.put(key, inPresentEra(item)));
        history.clear();
        copy.history().forEach(item -> history.add(inPresentEra(item)));
        leases.clear();
        copy.leases().forEach((lease, keys) -> leases.put(lease, new ArrayList<>(keys)));
        revision = copy.revision();
        List<Watch> cut = List.copyOf(watches);
        watches.clear();
        cut.forEach(Watch::cut);
    }

    private RegistryStore.Entry inPresentEra(RegistryStore.Entry entry) {
        StoreRevision number = new StoreRevision(era, entry.revision().number());
        return new RegistryStore.Entry(entry.key(), number, entry.value());
    }

    /** An older state of the store. Immutable. */
    public record Copy(
            Map<String, RegistryStore.Entry> items,
            List<RegistryStore.Entry> history,
            Map<Long, List<String>> leases,
            long revision) {}

    /** A watch that waits for changes. */
    private interface Watch {

        void look();

        void cut();
    }

    private StoreRevision at() {
        return new StoreRevision(era, revision);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            record(new RegistryStore.Entry(key, at(), Optional.empty()));
        }
    }

    private void record(RegistryStore.Entry entry) {
        if (entry.value().isPresent()) {
            items.put(entry.key(), entry);
        }
        history.add(entry);
        List.copyOf(watches).forEach(Watch::look);
    }

    /** One node's way to the store. */
    public final class View implements RegistryStore {
        private boolean down;
        private boolean silent;
        private int calls;
        private final StoreEras eras = StoreEras.create();
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
            if (down) {
                return CompletableFuture.failedFuture(new PlatformException("the store is down"));
            }
            eras.note(era);
            return CompletableFuture.completedFuture(value);
        }

        @Override
        public StoreEras eras() {
            return eras;
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
                    at());
        }

        @Override
        public CompletableFuture<Changes> changes(String prefix, StoreRevision after, Duration wait) {
            calls++;
            if (after.number() > revision) {
                return answer(new Changes(true, ImmutableList.of(), at()));
            }
            WaitingWatch watch = new WaitingWatch(prefix, after.number());
            watches.add(watch);
            timers.after(wait, watch::end);
            watch.look();
            return watch.future;
        }

        /** A watch of this node: completes with the first changes, or with none at its end. */
        private final class WaitingWatch implements Watch {
            private final CompletableFuture<Changes> future = new CompletableFuture<>();
            private final String prefix;
            private final long after;
            private boolean silenced;

            WaitingWatch(String prefix, long after) {
                this.prefix = prefix;
                this.after = after;
            }

            @Override
            public void look() {
                ImmutableList<Entry> found = history.stream()
                        .filter(entry ->
                                entry.revision().number() > after && entry.key().startsWith(prefix))
                        .collect(ImmutableList.toImmutableList());
                silenced |= silent;
                if (!found.isEmpty() && !down && !silenced && watches.remove(this)) {
                    eras.note(era);
                    future.complete(new Changes(false, found, at()));
                }
            }

            @Override
            public void cut() {
                future.completeExceptionally(new PlatformException("the store went away"));
            }

            private void end() {
                watches.remove(this);
                if (down || silenced) {
                    future.completeExceptionally(new PlatformException("the store is down"));
                } else {
                    eras.note(era);
                    future.complete(new Changes(false, ImmutableList.of(), at()));
                }
            }
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
