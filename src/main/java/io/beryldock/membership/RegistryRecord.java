package io.beryldock.membership;

import com.google.protobuf.ByteString;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.store.StoreRecovery;
import io.beryldock.time.Jitter;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * This node's own record in the store, kept there under a lease.
 *
 * <p>Control thread only. Invariant: the record in the store is the current one, or a write of it is under way or due.
 * After an outage it is back within about a second: while the store gives no answer it is asked each
 * {@link #RETRY}, and an entry that is seen to be gone is written again at once. When the store has come back from an
 * older copy the entry is read back, and written again unless it is there as it was.
 */
final class RegistryRecord {

    /** Length of the lease: entries of nodes that died are gone after it. Renewals are cheap but not free. */
    static final Duration LEASE = Duration.ofSeconds(15);

    /** A third of the lease, so that two renewals may be lost. */
    private static final Duration RENEWAL = Duration.ofSeconds(5);

    /** Writings of this node that its own news may still tell of. */
    private static final int WRITINGS_KEPT = 8;

    private static final Duration RETRY = Duration.ofMillis(500);

    /** Nodes hear of a new era at the same time; their readings are spread over this. */
    private static final Duration CHECK_SPREAD = Duration.ofMillis(300);

    private static final long NO_LEASE = 0;

    private final String key;
    private final RegistryStore store;
    private final StoreRecovery recovery;
    private final TimerService timers;
    private final RandomGenerator random;
    private MemberRecord record;
    private long lease = NO_LEASE;
    private long written = -1;
    private long renewedAt;
    private boolean busy;
    private boolean left;
    private boolean unchecked;
    private final Deque<ByteString> writings = new ArrayDeque<>();

    RegistryRecord(String key, MemberRecord record, RegistryPorts ports) {
        this.key = key;
        this.record = record;
        this.store = ports.store();
        this.recovery = ports.recovery();
        this.timers = ports.timers();
        this.random = ports.random();
        store.eras().onRise(timers, this::onEraRisen);
    }

    String key() {
        return key;
    }

    MemberRecord record() {
        return record;
    }

    /** Takes another target; tells whether that changed the record. */
    boolean announce(Optional<AnnouncedTarget> target) {
        if (record.target().equals(target) || left) {
            return false;
        }
        record = record.withTarget(target);
        publish();
        return true;
    }

    /** Writes the record, unless it is in the store already. */
    void publish() {
        if (busy || left) {
            return;
        }
        if (written == record.revision()) {
            checkIfDue();
            return;
        }
        busy = true;
        if (lease == NO_LEASE) {
            hear(store.grantLease(LEASE), this::onGranted);
        } else {
            write();
        }
    }

    private void onGranted(Long granted, Throwable failure) {
        if (failure != null) {
            retry();
            return;
        }
        lease = granted;
        renewedAt = timers.ticker().nanos();
        write();
    }

    private void write() {
        long revision = record.revision();
        ByteString value = MembershipCodec.encode(record).toByteString();
        remember(value);
        hear(store.put(key, value, lease), (done, failure) -> {
            if (failure != null) {
                retry();
                return;
            }
            busy = false;
            if (done) {
                written = revision;
            } else {
                lease = NO_LEASE;
            }
            publish();
        });
    }

    private void remember(ByteString value) {
        writings.addLast(value);
        if (writings.size() > WRITINGS_KEPT) {
            writings.removeFirst();
        }
    }

    private void retry() {
        timers.after(Jitter.around(RETRY, random), () -> {
            busy = false;
            publish();
        });
    }

    /** What the store had acknowledged may be lost, and its lease with it. */
    private void onEraRisen() {
        timers.after(Jitter.around(CHECK_SPREAD.dividedBy(2), random), () -> {
            unchecked = true;
            publish();
        });
    }

    private void checkIfDue() {
        if (unchecked) {
            busy = true;
            unchecked = false;
            hear(store.list(key), this::onReadBack);
        }
    }

    private void onReadBack(Listing listing, Throwable failure) {
        if (failure != null) {
            unchecked = true;
            retry();
            return;
        }
        busy = false;
        if (holdsRecord(listing)) {
            renewSoon();
        } else {
            rewrite();
        }
    }

    private boolean holdsRecord(Listing listing) {
        ByteString current = MembershipCodec.encode(record).toByteString();
        return listing.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .anyMatch(entry -> entry.value().filter(current::equals).isPresent());
    }

    /** The store may have lost the last renewal. */
    private void renewSoon() {
        renewedAt = timers.ticker().nanos() - RENEWAL.toNanos();
        renew();
    }

    /** Renews the lease when that is due. */
    void renew() {
        boolean due = timers.ticker().nanos() - renewedAt >= RENEWAL.toNanos();
        if (busy || left || lease == NO_LEASE || !due) {
            return;
        }
        busy = true;
        hear(store.renewLease(lease), this::onRenewed);
    }

    private void onRenewed(Boolean alive, Throwable failure) {
        if (failure != null) {
            // Asked again soon: the lease may have ended, and the entry must be back soon after the store is.
            timers.after(RETRY, this::afterRenewal);
            return;
        }
        renewedAt = timers.ticker().nanos();
        if (!alive) {
            lose();
        }
        afterRenewal();
    }

    /**
     * Does what was held up by the renewal.
     *
     * <p>The watch may tell that the entry is gone while a renewal is under way. Were that left to the next renewal the
     * entry would never come back: without a lease there is none.
     */
    private void afterRenewal() {
        busy = false;
        publish();
        renew();
    }

    private void rewrite() {
        lose();
        publish();
    }

    private void lose() {
        lease = NO_LEASE;
        written = -1;
    }

    /** The store told that this node's own entry was removed. */
    void onRemoved() {
        if (!left) {
            rewrite();
        }
    }

    /**
     * The store told what this node's own entry holds.
     *
     * <p>Another program may have written over it; then nobody who reads it finds this node's target until it is
     * written again. An entry of an earlier start of this node is replaced by the first writing anyway.
     */
    void onEntry(ByteString value) {
        if (written >= 0 && !left && !writings.contains(value)) {
            written = -1;
            publish();
        }
    }

    /** Says that this node leaves, then removes the entry. */
    CompletableFuture<Void> leave() {
        left = true;
        if (lease == NO_LEASE) {
            return CompletableFuture.completedFuture(null);
        }
        MemberRecord gone = record.withStatus(MemberStatus.LEFT);
        return store.put(key, MembershipCodec.encode(gone).toByteString(), lease)
                .thenCompose(done -> store.endLease(lease));
    }

    private <T> void hear(CompletableFuture<T> call, BiConsumer<T, Throwable> then) {
        TimerThread.hear(timers, call, (value, failure) -> {
            then.accept(value, failure);
            recovery.onCall(failure == null);
        });
    }
}
