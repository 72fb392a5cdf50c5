package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.store.StoreRecovery;
import io.beryldock.time.Jitter;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.wire.MembershipRecord;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Maintains this node's own record in the store under a lease.
 *
 * <p>Confined to the control thread. Invariants: the store holds the current record, or a write of it is in progress or
 * due; nothing is written before the departures in the record of an earlier process have been read.
 *
 * <p>After an outage the record is restored within about a second: while the store does not answer, the call is retried
 * every {@link #RETRY_DELAY}, and an entry known to be missing is written again immediately. After the store has been
 * restored from an older copy, the entry is read back and written again if it differs from the current record.
 */
final class RegistryRecord {

    /**
     * Duration of the lease, after which the entry of a dead node is removed. A shorter lease would need more frequent
     * renewals.
     */
    static final Duration LEASE = Duration.ofSeconds(15);

    /** A third of the lease, so that two consecutive renewals may be lost. */
    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(5);

    /** Number of recent writes of this node that are recognised when the watch reports them. */
    private static final int MAX_RECENT_WRITES = 8;

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** All nodes detect a new era of the store at the same time; their reads are spread over this period. */
    private static final Duration READ_BACK_SPREAD = Duration.ofMillis(300);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long NO_LEASE = 0;

    private final String key;
    private final RegistryStore store;
    private final StoreRecovery recovery;
    private final TimerService timers;
    private final RandomGenerator random;
    private MemberRecord record;
    private long lease = NO_LEASE;
    private long writtenRevision = -1;
    private long renewedAt;
    private boolean callInProgress;
    private boolean left;
    private boolean readBackDue;
    private boolean publishDue;
    private final Deque<ByteString> recentWrites = new ArrayDeque<>();
    private final RecordedDepartures departures = new RecordedDepartures();
    private final CompletableFuture<ImmutableList<DepartedStart>> earlierDepartures = new CompletableFuture<>();

    RegistryRecord(String key, MemberRecord record, RegistryPorts ports) {
        this.key = key;
        this.record = record;
        this.store = ports.store();
        this.recovery = ports.recovery();
        this.timers = ports.timers();
        this.random = ports.random();
        store.eras().onNewEra(timers, this::onEraRisen);
    }

    String key() {
        return key;
    }

    MemberRecord record() {
        return record;
    }

    /** Reads the departures that an earlier process of this node has recorded. */
    void recall() {
        callStore(store.list(key), this::onRecalled);
    }

    private void onRecalled(Listing listing, Throwable failure) {
        if (failure != null) {
            timers.after(Jitter.around(RETRY_DELAY, random), this::recall);
            return;
        }
        ImmutableList<DepartedStart> recorded =
                ownValue(listing).map(this::readDepartures).orElse(ImmutableList.of());
        log.atInfo().log("departures recorded by earlier processes: %s", recorded);
        departures.addEarlier(recorded);
        earlierDepartures.complete(recorded);
        if (publishDue) {
            publish();
        }
    }

    private ImmutableList<DepartedStart> readDepartures(ByteString value) {
        try {
            return RecordedDepartures.read(MembershipRecord.parseFrom(value));
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).log("ignoring entry %s: not a valid node record", key);
            return ImmutableList.of();
        }
    }

    /** Passes the departures that earlier processes of this node have recorded, once they have been read. */
    void readEarlierDepartures(Consumer<ImmutableList<DepartedStart>> reader) {
        TimerThread.onCompletion(timers, earlierDepartures, (earlier, failure) -> reader.accept(earlier));
    }

    /** Adds a departure to the record; the future completes when the store holds it. */
    CompletableFuture<Void> addDeparture(DepartedStart start) {
        boolean added = departures.add(start);
        if (left) {
            writeLeft();
        } else if (added) {
            record = record.withTarget(record.target());
            // A change of the target's state usually follows at once; both take one write.
            timers.after(Duration.ZERO, this::publish);
        }
        return departures.stored(start);
    }

    /** Sets the announced target and returns whether this changed the record. */
    boolean announce(Optional<AnnouncedTarget> target) {
        if (record.target().equals(target) || left) {
            return false;
        }
        record = record.withTarget(target);
        publish();
        return true;
    }

    /** Writes the record unless the store already holds it. */
    void publish() {
        if (!earlierDepartures.isDone()) {
            publishDue = true;
            return;
        }
        if (callInProgress || left) {
            return;
        }
        if (writtenRevision == record.revision()) {
            readBackIfDue();
            return;
        }
        callInProgress = true;
        if (lease == NO_LEASE) {
            callStore(store.grantLease(LEASE), this::onGranted);
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
        ImmutableList<DepartedStart> departed = departures.starts();
        ByteString value = encode(record);
        addRecentWrite(value);
        callStore(store.put(key, value, lease), (done, failure) -> {
            if (failure != null) {
                retry();
                return;
            }
            callInProgress = false;
            if (done) {
                writtenRevision = revision;
                logStored(departed);
                departures.onStored(departed);
            } else {
                lease = NO_LEASE;
            }
            publish();
        });
    }

    private void logStored(ImmutableList<DepartedStart> departed) {
        departed.stream()
                .filter(start -> !departures.stored(start).isDone())
                .forEach(start -> log.atInfo().log("the store holds the departure of %s", start));
    }

    private ByteString encode(MemberRecord current) {
        return departures.addTo(MembershipCodec.encode(current)).toByteString();
    }

    private void addRecentWrite(ByteString value) {
        recentWrites.addLast(value);
        if (recentWrites.size() > MAX_RECENT_WRITES) {
            recentWrites.removeFirst();
        }
    }

    private void retry() {
        timers.after(Jitter.around(RETRY_DELAY, random), () -> {
            callInProgress = false;
            publish();
        });
    }

    /** Schedules a check of the entry: in a new era the store may have lost acknowledged writes and the lease. */
    private void onEraRisen() {
        timers.after(Jitter.around(READ_BACK_SPREAD.dividedBy(2), random), () -> {
            readBackDue = true;
            publish();
        });
    }

    private void readBackIfDue() {
        if (readBackDue) {
            callInProgress = true;
            readBackDue = false;
            callStore(store.list(key), this::onReadBack);
        }
    }

    private void onReadBack(Listing listing, Throwable failure) {
        if (failure != null) {
            readBackDue = true;
            retry();
            return;
        }
        callInProgress = false;
        if (holdsRecord(listing)) {
            renewNow();
        } else {
            rewrite();
        }
    }

    private boolean holdsRecord(Listing listing) {
        return ownValue(listing).filter(encode(record)::equals).isPresent();
    }

    private Optional<ByteString> ownValue(Listing listing) {
        return listing.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .findAny()
                .flatMap(Entry::value);
    }

    /** Renews the lease immediately, because the store may have lost the last renewal. */
    private void renewNow() {
        renewedAt = timers.ticker().nanos() - RENEWAL_PERIOD.toNanos();
        renew();
    }

    /** Renews the lease if a renewal is due. */
    void renew() {
        boolean due = timers.ticker().nanos() - renewedAt >= RENEWAL_PERIOD.toNanos();
        if (callInProgress || left || lease == NO_LEASE || !due) {
            return;
        }
        callInProgress = true;
        callStore(store.renewLease(lease), this::onRenewed);
    }

    private void onRenewed(Boolean alive, Throwable failure) {
        if (failure != null) {
            // Retried soon: the lease may have expired, and the entry must be restored soon after the store.
            timers.after(RETRY_DELAY, this::afterRenewal);
            return;
        }
        renewedAt = timers.ticker().nanos();
        if (!alive) {
            discardLease();
        }
        afterRenewal();
    }

    /**
     * Performs the work that was deferred during the renewal.
     *
     * <p>The watch may report the removal of the entry while a renewal is in progress. If the write were left to the
     * next renewal, the entry would never be restored, because without a lease no renewal takes place.
     */
    private void afterRenewal() {
        callInProgress = false;
        publish();
        renew();
    }

    private void rewrite() {
        discardLease();
        publish();
    }

    private void discardLease() {
        lease = NO_LEASE;
        writtenRevision = -1;
    }

    /** Handles the removal of this node's own entry from the store. */
    void onRemoved() {
        if (!left) {
            rewrite();
        }
    }

    /**
     * Handles a value of this node's own entry reported by the store.
     *
     * <p>If another program has overwritten the entry, readers cannot find this node's target until it is written
     * again. An entry of an earlier incarnation of this node needs no handling, because the first write replaces it.
     */
    void onEntry(ByteString value) {
        if (writtenRevision == record.revision() && !left && !value.equals(encode(record))) {
            log.atWarning().log("the store holds another value of %s than the one last written", key);
        }
        if (writtenRevision >= 0 && !left && !recentWrites.contains(value)) {
            writtenRevision = -1;
            publish();
        }
    }

    /**
     * Writes that this node has left. The entry is kept until its lease runs out, so that the departures in it are
     * found if the node is restarted beside a leaving target.
     */
    CompletableFuture<Boolean> leave() {
        left = true;
        return writeLeft();
    }

    private CompletableFuture<Boolean> writeLeft() {
        if (lease == NO_LEASE) {
            return CompletableFuture.completedFuture(false);
        }
        ImmutableList<DepartedStart> departed = departures.starts();
        CompletableFuture<Boolean> written = store.put(key, encode(record.withStatus(MemberStatus.LEFT)), lease);
        callStore(written, (done, failure) -> {
            if (failure == null && done) {
                departures.onStored(departed);
            }
        });
        return written;
    }

    private <T> void callStore(CompletableFuture<T> call, BiConsumer<T, Throwable> then) {
        TimerThread.onCompletion(timers, call, (value, failure) -> {
            then.accept(value, failure);
            recovery.onCall(failure == null);
        });
    }
}
