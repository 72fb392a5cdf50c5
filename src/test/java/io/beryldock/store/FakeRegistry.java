package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** An in-memory registry that simulates outages, for all callers or for a single one. Not thread safe. */
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
    private long discardedUpTo;
    private boolean withholding;

    public FakeRegistry(TimerService timers) {
        this.timers = timers;
    }

    /** Creates the view of one node, which can be disconnected from the store. */
    public View view() {
        return new View();
    }

    /** Ends all leases, as an outage that is longer than the leases does. */
    public void expireLeases() {
        List<String> keys = leases.values().stream().flatMap(List::stream).toList();
        leases.clear();
        keys.forEach(this::remove);
    }

    public void write(String key, ByteString value) {
        revision++;
        record(new RegistryStore.Entry(key, currentRevision(), Optional.of(value)));
    }

    /** While withholding, watches get no changes: one that ends returns none, with the current revision. */
    public void setWithholding(boolean value) {
        withholding = value;
        if (!value) {
            List.copyOf(watches).forEach(Watch::deliverChanges);
        }
    }

    /** Discards the history of changes; watches in progress fail. */
    public void discardHistory() {
        discardedUpTo = revision;
        history.clear();
        failWatches();
    }

    public boolean holds(String key) {
        return items.containsKey(key);
    }

    /** Copies the current state of the store, from which it can be restored later. */
    public Copy copy() {
        Map<Long, List<String>> copied = new TreeMap<>();
        leases.forEach((lease, keys) -> copied.put(lease, List.copyOf(keys)));
        return new Copy(Map.copyOf(items), List.copyOf(history), copied, revision);
    }

    /** Restores the copy, which loses all later changes; watches in progress fail. */
    public void restoreFrom(Copy copy) {
        era++;
        items.clear();
        copy.items().forEach((key, item) -> items.put(key, withCurrentEra(item)));
        history.clear();
        copy.history().forEach(item -> history.add(withCurrentEra(item)));
        leases.clear();
        copy.leases().forEach((lease, keys) -> leases.put(lease, new ArrayList<>(keys)));
        revision = copy.revision();
        discardedUpTo = 0;
        failWatches();
    }

    private void failWatches() {
        List<Watch> interrupted = List.copyOf(watches);
        watches.clear();
        interrupted.forEach(Watch::fail);
    }

    private RegistryStore.Entry withCurrentEra(RegistryStore.Entry entry) {
        StoreRevision number = new StoreRevision(era, entry.revision().number());
        return new RegistryStore.Entry(entry.key(), number, entry.value());
    }

    /** A copy of a state of the store. Immutable. */
    public record Copy(
            Map<String, RegistryStore.Entry> items,
            List<RegistryStore.Entry> history,
            Map<Long, List<String>> leases,
            long revision) {}

    /** A pending watch. */
    private interface Watch {

        void deliverChanges();

        void fail();
    }

    private StoreRevision currentRevision() {
        return new StoreRevision(era, revision);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            record(new RegistryStore.Entry(key, currentRevision(), Optional.empty()));
        }
    }

    private void record(RegistryStore.Entry entry) {
        if (entry.value().isPresent()) {
            items.put(entry.key(), entry);
        }
        history.add(entry);
        List.copyOf(watches).forEach(Watch::deliverChanges);
    }

    /** One node's connection to the store. */
    public final class View implements RegistryStore {
        private boolean down;
        private boolean silent;
        private boolean losesWatches;
        private Optional<Duration> lateWrite = Optional.empty();
        private int calls;
        private int revisionReads;
        private final StoreEras eras = StoreEras.create();
        private Supplier<Duration> delay = () -> Duration.ZERO;

        /** Sets the delay after which a listing reaches the store; its answer arrives after a second such delay. */
        public void setDelay(Supplier<Duration> value) {
            delay = value;
        }

        /** Number of listings, watches, writes and granted leases so far. */
        public int calls() {
            return calls;
        }

        /** Number of reads of the store's revision so far. */
        public int revisionReads() {
            return revisionReads;
        }

        public void setDown(boolean value) {
            down = value;
        }

        /** While silent, new calls get no answer; watches that were pending then don't get one later either. */
        public void setSilent(boolean value) {
            silent = value;
        }

        /** The next write gets no answer and is applied after the delay. */
        public void delayNextWrite(Duration value) {
            lateWrite = Optional.of(value);
        }

        /** While it loses watches, new ones never end although other calls are answered. */
        public void setLosesWatches(boolean value) {
            losesWatches = value;
        }

        private <T> CompletableFuture<T> unanswered() {
            CompletableFuture<T> unanswered = new CompletableFuture<>();
            timers.after(
                    ANSWER_TIMEOUT,
                    () -> unanswered.completeExceptionally(new PlatformException("no answer from the store")));
            return unanswered;
        }

        private <T> CompletableFuture<T> answer(T value) {
            if (silent) {
                return unanswered();
            }
            if (down) {
                return CompletableFuture.failedFuture(new PlatformException("the store is down"));
            }
            eras.observe(era);
            return CompletableFuture.completedFuture(value);
        }

        @Override
        public StoreEras eras() {
            return eras;
        }

        @Override
        public CompletableFuture<Listing> list(String prefix) {
            calls++;
            Duration listingDelay = delay.get();
            if (listingDelay.isZero()) {
                return answer(listing(prefix));
            }
            CompletableFuture<Listing> delayedAnswer = new CompletableFuture<>();
            timers.after(listingDelay, () -> {
                Listing currentListing = listing(prefix);
                timers.after(
                        delay.get(),
                        () -> answer(currentListing).whenComplete((listing, failure) -> {
                            if (failure == null) {
                                delayedAnswer.complete(listing);
                            } else {
                                delayedAnswer.completeExceptionally(failure);
                            }
                        }));
            });
            return delayedAnswer;
        }

        private Listing listing(String prefix) {
            return new Listing(
                    items.values().stream()
                            .filter(item -> item.key().startsWith(prefix))
                            .collect(ImmutableList.toImmutableList()),
                    currentRevision());
        }

        @Override
        public CompletableFuture<Changes> changes(String prefix, StoreRevision after, Duration wait) {
            calls++;
            if (losesWatches) {
                return new CompletableFuture<>();
            }
            if (after.number() > revision || after.number() < discardedUpTo) {
                return answer(new Changes(true, ImmutableList.of(), currentRevision()));
            }
            WaitingWatch watch = new WaitingWatch(prefix, after.number());
            watches.add(watch);
            timers.after(wait, watch::end);
            watch.deliverChanges();
            return watch.future;
        }

        /** A watch of this node: completes with the first changes, or without changes after its wait. */
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
            public void deliverChanges() {
                ImmutableList<Entry> newChanges = history.stream()
                        .filter(entry ->
                                entry.revision().number() > after && entry.key().startsWith(prefix))
                        .collect(ImmutableList.toImmutableList());
                silenced |= silent;
                boolean answered = !down && !silenced && !withholding;
                if (!newChanges.isEmpty() && answered && watches.remove(this)) {
                    eras.observe(era);
                    future.complete(new Changes(false, newChanges, currentRevision()));
                }
            }

            @Override
            public void fail() {
                future.completeExceptionally(new PlatformException("the connection to the store was closed"));
            }

            private void end() {
                watches.remove(this);
                if (down || silenced) {
                    future.completeExceptionally(new PlatformException("the store is down"));
                } else {
                    eras.observe(era);
                    future.complete(new Changes(false, ImmutableList.of(), currentRevision()));
                }
            }
        }

        @Override
        public CompletableFuture<StoreRevision> revision() {
            revisionReads++;
            return answer(currentRevision());
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
        public CompletableFuture<WriteOutcome> write(ImmutableList<ConditionalWrite> writes) {
            calls++;
            if (lateWrite.isPresent()) {
                timers.after(lateWrite.get(), () -> apply(writes));
                lateWrite = Optional.empty();
                return unanswered();
            }
            return down ? answer(WriteOutcome.leaseEnded()) : answer(apply(writes));
        }

        private WriteOutcome apply(ImmutableList<ConditionalWrite> writes) {
            if (!writes.stream().allMatch(this::replacesCurrent)) {
                return WriteOutcome.conflict(writes.stream()
                        .map(write -> items.get(write.key()))
                        .filter(Objects::nonNull)
                        .collect(ImmutableList.toImmutableList()));
            }
            if (!writes.stream().allMatch(write -> write.lease() == NO_LEASE || leases.containsKey(write.lease()))) {
                return WriteOutcome.leaseEnded();
            }
            revision++;
            for (ConditionalWrite write : writes) {
                if (write.lease() != NO_LEASE) {
                    leases.get(write.lease()).add(write.key());
                }
                record(new Entry(write.key(), currentRevision(), Optional.of(write.value())));
            }
            return WriteOutcome.applied(currentRevision());
        }

        private boolean replacesCurrent(ConditionalWrite write) {
            Entry current = items.get(write.key());
            long held = current == null ? 0 : current.revision().number();
            return held == write.replaced().number();
        }
    }
}
