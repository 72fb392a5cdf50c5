package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.RegistryStore.ConditionalWrite;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.store.RegistryStore.WriteOutcome;
import io.beryldock.store.StoreRecovery;
import io.beryldock.time.Jitter;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Maintains this node's own entries in the store: its record under a lease, and the departures of its targets without
 * one, as they must be found after the node has been down for any time.
 *
 * <p>Confined to the control thread. Invariants: the store holds the current record and departures, or a write of them
 * is in progress or due; one call is in progress at a time; nothing is written before the entries have been read, which
 * is repeated when the store was restored from an older copy.
 *
 * <p>After an outage the entries are restored within about a second: while the store does not answer, the call is
 * retried every {@link #RETRY_DELAY}, and an entry known to be missing is written again immediately.
 */
final class RegistryRecord {

    /**
     * Duration of the lease, after which the record of a dead node is removed. A shorter lease would need more frequent
     * renewals.
     */
    static final Duration LEASE = Duration.ofSeconds(15);

    /** Prefix of the keys of the departures; the rest of the key is the node's id. */
    static final String DEPARTURES_PREFIX = "beryldock/departures/";

    /** A third of the lease, so that two consecutive renewals may be lost. */
    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** All nodes detect a new era of the store at the same time; their reads are spread over this period. */
    private static final Duration READ_BACK_SPREAD = Duration.ofMillis(300);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final OwnEntry entry;
    private final OwnEntry departuresEntry;
    private final RegistryStore store;
    private final StoreRecovery recovery;
    private final TimerService timers;
    private final RandomGenerator random;
    private final RecordedDepartures departures = new RecordedDepartures();
    private final CompletableFuture<ImmutableList<DepartedStart>> earlierDepartures = new CompletableFuture<>();
    private final CompletableFuture<Void> leaving = new CompletableFuture<>();
    private MemberRecord record;
    private long lease = RegistryStore.NO_LEASE;

    /** The lease under which the record was last written. */
    private long entryLease = RegistryStore.NO_LEASE;

    private long renewedAt;
    private boolean callInProgress;
    private boolean readDue = true;
    private boolean entriesRead;
    private boolean publishing;
    private boolean conflicted;
    private boolean left;

    RegistryRecord(MemberRecord record, RegistryPorts ports) {
        this.entry = new OwnEntry(RegistryMembership.PREFIX + record.id().value());
        this.departuresEntry = new OwnEntry(DEPARTURES_PREFIX + record.id().value());
        this.record = record;
        this.store = ports.store();
        this.recovery = ports.recovery();
        this.timers = ports.timers();
        this.random = ports.random();
        store.eras().onNewEra(timers, this::onEraRisen);
    }

    /** Listings of the keys of both entries. Immutable. */
    private record Listings(Listing record, Listing departures) {}

    /** Key of the record. */
    String key() {
        return entry.key();
    }

    MemberRecord record() {
        return record;
    }

    /** Reads the entries that an earlier process of this node has written. */
    void recall() {
        proceed();
    }

    /** Passes the departures that earlier processes have recorded, once they have been read; never if they can't be. */
    void readEarlierDepartures(Consumer<ImmutableList<DepartedStart>> reader) {
        TimerThread.onCompletion(timers, earlierDepartures, (earlier, failure) -> reader.accept(earlier));
    }

    /** Records a departure; the future completes when the store holds it. */
    CompletableFuture<Void> addDeparture(DepartedStart start) {
        departures.add(start);
        // A change of the target's state usually follows at once; both take one write.
        timers.after(Duration.ZERO, this::publish);
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

    /** Writes the record and the departures unless the store already holds them, and keeps them there from now on. */
    void publish() {
        publishing = true;
        proceed();
    }

    /** Writes that this node has left; the future completes when the store holds that, or holds no record anyway. */
    CompletableFuture<Void> leave() {
        left = true;
        publish();
        return leaving;
    }

    /** Makes the next call that is due. */
    private void proceed() {
        if (callInProgress) {
            return;
        }
        if (readDue) {
            read();
            return;
        }
        boolean departuresStored = areDeparturesStored();
        boolean recordStored = isRecordStored();
        if (departuresStored) {
            onDeparturesStored();
        }
        if (left && recordStored) {
            leaving.complete(null);
        }
        if (publishing && !(departuresStored && recordStored)) {
            writeEntries(recordStored);
        }
    }

    private boolean areDeparturesStored() {
        return departures.starts().isEmpty() || departuresEntry.holds(departures.encode());
    }

    /** Whether the store holds the record under the current lease; a node that has left needs none. */
    private boolean isRecordStored() {
        if (lease == RegistryStore.NO_LEASE) {
            return left;
        }
        return entryLease == lease && entry.holds(encode());
    }

    private ByteString encode() {
        MemberRecord current = left ? record.withStatus(MemberStatus.LEFT) : record;
        return MembershipCodec.encode(current).toByteString();
    }

    private void onDeparturesStored() {
        ImmutableList<DepartedStart> starts = departures.starts();
        starts.stream()
                .filter(start -> !departures.stored(start).isDone())
                .forEach(start -> log.atInfo().log("the store holds the departure of %s", start));
        departures.onStored(starts);
    }

    private void read() {
        callInProgress = true;
        readDue = false;
        CompletableFuture<Listing> recorded = store.list(departuresEntry.key());
        callStore(store.list(entry.key()).thenCombine(recorded, Listings::new), this::onRead);
    }

    private void onRead(Listings listings, Throwable failure) {
        if (failure != null) {
            readDue = true;
            retry();
            return;
        }
        callInProgress = false;
        entry.onListing(listings.record());
        departuresEntry.onListing(listings.departures());
        Optional<ImmutableList<DepartedStart>> found = readDepartures();
        found.ifPresent(departures::addEarlier);
        if (!entriesRead) {
            entriesRead = true;
            found.ifPresent(this::passEarlierDepartures);
        } else if (isRecordStored()) {
            renewNow();
        } else {
            lease = RegistryStore.NO_LEASE;
        }
        proceed();
    }

    private void passEarlierDepartures(ImmutableList<DepartedStart> found) {
        log.atInfo().log("departures recorded by earlier processes: %s", found);
        earlierDepartures.complete(found);
    }

    /** Returns the departures that the store holds; empty if their entry is not valid, so that it is unknown which. */
    private Optional<ImmutableList<DepartedStart>> readDepartures() {
        ImmutableList<DepartedStart> ofRecord =
                decode(entry, RecordedDepartures::decodeRecord).orElse(ImmutableList.of());
        return decode(departuresEntry, RecordedDepartures::decode)
                .map(recorded -> ImmutableList.<DepartedStart>builder()
                        .addAll(ofRecord)
                        .addAll(recorded)
                        .build());
    }

    /** Reads the departures in the value of an entry. */
    @FunctionalInterface
    private interface DeparturesDecoder {
        ImmutableList<DepartedStart> decode(ByteString value) throws InvalidProtocolBufferException;
    }

    /** Returns the departures in the entry, which are none if it does not exist; empty if its value is not valid. */
    private static Optional<ImmutableList<DepartedStart>> decode(OwnEntry source, DeparturesDecoder decoder) {
        if (source.value().isEmpty()) {
            return Optional.of(ImmutableList.of());
        }
        try {
            return Optional.of(decoder.decode(source.value().get()));
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).log(
                    "ignoring entry %s, which this node replaces: not a valid value", source.key());
            return Optional.empty();
        }
    }

    private void writeEntries(boolean recordStored) {
        callInProgress = true;
        if (!recordStored && lease == RegistryStore.NO_LEASE) {
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
        long writtenLease = lease;
        ImmutableList.Builder<ConditionalWrite> writes = ImmutableList.builder();
        if (!areDeparturesStored()) {
            writes.add(departuresEntry.replacement(departures.encode(), RegistryStore.NO_LEASE));
        }
        if (!isRecordStored()) {
            writes.add(entry.replacement(encode(), lease));
        }
        ImmutableList<ConditionalWrite> sent = writes.build();
        callStore(store.write(sent), (outcome, failure) -> {
            if (failure != null) {
                retry();
                return;
            }
            callInProgress = false;
            switch (outcome.kind()) {
                case APPLIED -> onApplied(sent, writtenLease, outcome);
                case CONFLICT -> onConflict(sent, outcome);
                case LEASE_ENDED -> onLeaseEnded();
            }
        });
    }

    private void onApplied(ImmutableList<ConditionalWrite> writes, long writtenLease, WriteOutcome outcome) {
        conflicted = false;
        for (ConditionalWrite write : writes) {
            entryOf(write).onWritten(outcome.revision(), write.value());
            if (entryOf(write) == entry) {
                entryLease = writtenLease;
            }
        }
        proceed();
    }

    /** An earlier write of this node that got no answer was applied after all, or the entry was changed by others. */
    private void onConflict(ImmutableList<ConditionalWrite> writes, WriteOutcome outcome) {
        writes.forEach(write -> entryOf(write).onAnswer(outcome.current()));
        readDepartures().ifPresent(departures::addEarlier);
        boolean repeated = conflicted;
        conflicted = true;
        if (repeated) {
            retry();
        } else {
            proceed();
        }
    }

    private OwnEntry entryOf(ConditionalWrite write) {
        return write.key().equals(entry.key()) ? entry : departuresEntry;
    }

    private void onLeaseEnded() {
        lease = RegistryStore.NO_LEASE;
        proceed();
    }

    private void retry() {
        callInProgress = true;
        timers.after(Jitter.around(RETRY_DELAY, random), () -> {
            callInProgress = false;
            proceed();
        });
    }

    /** Schedules a read of the entries: in a new era the store may have lost acknowledged writes and the lease. */
    private void onEraRisen() {
        readDue = true;
        timers.after(Jitter.around(READ_BACK_SPREAD.dividedBy(2), random), this::proceed);
    }

    /** Renews the lease immediately, because the store may have lost the last renewal. */
    private void renewNow() {
        renewedAt = timers.ticker().nanos() - RENEWAL_PERIOD.toNanos();
        renew();
    }

    /** Renews the lease if a renewal is due. */
    void renew() {
        boolean due = timers.ticker().nanos() - renewedAt >= RENEWAL_PERIOD.toNanos();
        if (callInProgress || left || lease == RegistryStore.NO_LEASE || !due) {
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
            lease = RegistryStore.NO_LEASE;
            entry.onLeaseEnded();
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
        proceed();
        renew();
    }

    /** Handles a change of the record's entry that the store reports; one that this node did not make is undone. */
    void onChange(Entry change) {
        if (!entry.onChange(change) || left) {
            return;
        }
        if (change.value().isEmpty()) {
            lease = RegistryStore.NO_LEASE;
        } else if (!callInProgress && !readDue && !entry.holds(encode())) {
            log.atWarning().log("the store holds another value of %s than this node has written; writing again", key());
        }
        proceed();
    }

    private <T> void callStore(CompletableFuture<T> call, BiConsumer<T, Throwable> then) {
        TimerThread.onCompletion(timers, call, (value, failure) -> {
            then.accept(value, failure);
            recovery.onCall(failure == null);
        });
    }
}
