package io.beryldock.membership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.SeedRecord;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads and writes the seed record in the platform store and counts the calls.
 *
 * <p>Callbacks run on the control thread, regardless of the thread on which the store completes. Confined to the
 * control thread.
 */
final class SeedRecords {

    static final String KEY = "membership/seeds";

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** The record as read, with the version required for a conditional write. Immutable. */
    record Versioned(long version, SeedRecord record) {}

    private final PlatformStore store;
    private final TimerService timers;
    private final EventSink events;
    private boolean down;
    private long reads;
    private long writes;

    SeedRecords(PlatformStore store, TimerService timers, EventSink events) {
        this.store = store;
        this.timers = timers;
        this.events = events;
    }

    /** Reads the record; the result is empty if the store cannot be reached. */
    void read(Consumer<Optional<Versioned>> then) {
        reads++;
        TimerThread.onCompletion(timers, store.get(KEY), (value, failure) -> {
            noteStore(failure);
            then.accept(failure == null ? Optional.of(parse(value)) : Optional.empty());
        });
    }

    /** Writes the record if its version is unchanged; the result is true if the write is known to have been applied. */
    void write(Versioned read, SeedRecord next, Consumer<Boolean> then) {
        writes++;
        TimerThread.onCompletion(
                timers, store.compareAndSet(KEY, read.version(), next.toByteString()), (result, failure) -> {
                    // A write whose answer was lost is not retried: the next check reads the record and determines
                    // whether the
                    // write was applied.
                    then.accept(failure == null && result.kind() == WriteResult.Kind.APPLIED);
                });
    }

    long reads() {
        return reads;
    }

    long writes() {
        return writes;
    }

    private Versioned parse(Optional<StoredValue> value) {
        if (value.isEmpty()) {
            return new Versioned(PlatformStore.ABSENT, SeedRecord.getDefaultInstance());
        }
        try {
            return new Versioned(
                    value.get().version(), SeedRecord.parseFrom(value.get().value()));
        } catch (InvalidProtocolBufferException e) {
            // New nodes need a readable record, so an invalid value is replaced on the basis of its version.
            log.atSevere().withCause(e).log("value of key %s is not a valid seed record and will be replaced", KEY);
            return new Versioned(value.get().version(), SeedRecord.getDefaultInstance());
        }
    }

    private void noteStore(Throwable failure) {
        boolean failed = failure != null;
        if (failed && !down) {
            events.record(EventKind.STORE_DOWN, KEY, "the seed record cannot be read; membership goes on without it");
        } else if (!failed && down) {
            events.record(EventKind.STORE_BACK, KEY, "the seed record can be read again");
        }
        if (failed && !(failure instanceof PlatformException)) {
            log.atSevere().atMostEvery(1, TimeUnit.MINUTES).withCause(failure).log(
                    "unexpected failure while reading the seed record");
        }
        down = failed;
    }
}
