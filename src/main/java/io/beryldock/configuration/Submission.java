package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.WriteResult;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The way of one change into the store: read the head, check, compare-and-set, and settle an answer that was lost.
 *
 * <p>On the control thread only. Invariant: once a write may be under way its fate is settled by reading back before
 * another is begun, so that the change takes effect at most once and is never called accepted, or not accepted, by
 * guess.
 */
final class Submission {

    /** Bound of the time that a submission takes, for the operators' client. */
    static final int MOST_SECONDS = 40;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final int MAX_ROUNDS = 12;
    private static final int MAX_FAILURES = 3;
    private static final int MAX_SETTLING = 5;
    private static final int MAX_LOOK_BACK = 1024;
    private static final int MAX_HEAD_RECORDS = 512;
    private static final int MAX_OPERATOR = 100;
    private static final Duration TIME = Duration.ofSeconds(30);
    private static final Duration BACKOFF = Duration.ofMillis(40);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
    private static final String STORE_DOWN =
            "the platform store can't be reached; nothing was changed: submit again when it is back";
    private static final String LOOK_AGAIN = "look at it with show configuration and submit again";

    private final WriterContext context;
    private final ConfigurationChange change;
    private final String operator;
    private final String id;
    private final long seen;
    private final long start;
    private int rounds;
    private int failures;
    private int settling;

    private Submission(WriterContext context, ConfigurationChange change, String operator, long seen, String id) {
        this.context = context;
        this.change = change;
        this.operator = operator;
        this.seen = seen;
        this.id = id;
        this.start = context.timers().ticker().nanos();
    }

    static Submission of(WriterContext context, ConfigurationChange change, String operator, long basedOn) {
        long inForce = context.keeper().current().version();
        long seen = basedOn == ConfigurationWriter.VERSION_IN_FORCE ? inForce : basedOn;
        return new Submission(context, change, operator, seen, context.newChangeId());
    }

    /**
     * The store's newest configuration as a base for the change. Immutable.
     *
     * @param inForceBefore version in force at this node before the head was read
     */
    private record Base(StoredHead head, Configuration configuration, long inForceBefore) {

        /** Whether the store holds less than had been accepted when it was read. */
        boolean storeLostChanges() {
            return head.version() < inForceBefore;
        }
    }

    CompletableFuture<ChangeResult> run() {
        if (operator.isEmpty() || operator.length() > MAX_OPERATOR) {
            return done(new ChangeResult.Rejected(
                    "operator: the name is empty or longer than " + MAX_OPERATOR, "give a shorter name"));
        }
        return round();
    }

    /** Does all but the write. */
    CompletableFuture<ChangeResult> check() {
        return then(readBase(), base -> checked(base, this::acceptable), e -> done(acceptableHere()));
    }

    private CompletableFuture<ChangeResult> round() {
        rounds++;
        if (rounds > MAX_ROUNDS || isLate()) {
            return done(new ChangeResult.NotAccepted(
                    "other operators' changes came first each time, or the platform store is slow; submit again"));
        }
        return then(readBase(), base -> checked(base, this::write), this::readFailed);
    }

    private boolean isLate() {
        return context.timers().ticker().nanos() - start > TIME.toNanos();
    }

    private CompletableFuture<ChangeResult> readFailed(Throwable failure) {
        log.atFine().log("reading the configuration failed: %s", failure);
        failures++;
        return failures > MAX_FAILURES ? done(new ChangeResult.NotAccepted(STORE_DOWN)) : again(failures, this::round);
    }

    private CompletableFuture<Base> readBase() {
        long inForceBefore = context.keeper().current().version();
        return context.reader().readHead().thenComposeAsync(stored -> baseOf(stored, inForceBefore), context.control());
    }

    private CompletableFuture<Base> baseOf(Optional<StoredHead> stored, long inForceBefore) {
        Configuration known = context.keeper().current();
        StoredHead head = stored.orElseGet(this::newHead);
        if (head.version() < inForceBefore) {
            return CompletableFuture.completedFuture(new Base(head, known, inForceBefore));
        }
        if (head.version() < known.version()) {
            // A later change reached this node while the head was read.
            return readBase();
        }
        if (stored.isEmpty()) {
            Configuration first = known.at(head.lineage(), known.version());
            return CompletableFuture.completedFuture(new Base(head, first, inForceBefore));
        }
        return context.reader()
                .load(head, known)
                .thenApplyAsync(whole -> learned(head, whole, inForceBefore), context.control());
    }

    /** The head before the first change ever, which has the built-in defaults as its version 0. */
    private StoredHead newHead() {
        SnapshotRef none = new SnapshotRef(Configuration.DEFAULTS_VERSION, 0, 0, 0);
        return new StoredHead(
                PlatformStore.ABSENT, context.newLineage(), Configuration.DEFAULTS_VERSION, none, ImmutableList.of());
    }

    private Base learned(StoredHead head, DocumentCodec.Whole whole, long inForceBefore) {
        context.keeper().take(whole.configuration(), whole.recent());
        return new Base(head, whole.configuration(), inForceBefore);
    }

    private CompletableFuture<ChangeResult> checked(
            Base base, Function<Base, CompletableFuture<ChangeResult>> whenClear) {
        StoredHead head = base.head();
        // A store that was set back lost accepted changes: a write on top of it would be in force at no node.
        if (base.storeLostChanges()) {
            return done(new ChangeResult.NotAccepted("the platform store lost accepted changes: it holds version "
                    + head.version() + ", this node " + base.inForceBefore()
                    + "; give it back with restore configuration"));
        }
        if (seen > head.version()) {
            return done(new ChangeResult.Rejected("version " + seen + " does not exist yet", LOOK_AGAIN));
        }
        if (head.version() - seen > MAX_LOOK_BACK) {
            return done(new ChangeResult.Rejected("version " + seen + " is too long ago", LOOK_AGAIN));
        }
        return then(
                context.reader().changes(head, seen),
                since -> clash(since).map(Submission::done).orElseGet(() -> whenClear.apply(base)),
                this::readFailed);
    }

    private Optional<ChangeResult> clash(ImmutableList<ChangeRecord> since) {
        return since.reverse().stream()
                .filter(other -> other.touched().overlaps(change.setting()))
                .findFirst()
                .map(Submission::conflict);
    }

    private static ChangeResult conflict(ChangeRecord other) {
        return new ChangeResult.Conflict(
                other.touched().toString(),
                other.edit().text(),
                other.operator(),
                other.version(),
                other.operator() + " set it at version " + other.version()
                        + "; to change it all the same, submit again based on version " + other.version());
    }

    private CompletableFuture<ChangeResult> acceptable(Base base) {
        return done(acceptableOn(base.configuration()));
    }

    private ChangeResult acceptableHere() {
        return acceptableOn(context.keeper().current());
    }

    private ChangeResult acceptableOn(Configuration base) {
        try {
            SettingEdit edit = change.editOf(base);
            String before = base.setting(edit.key()).map(Setting::text).orElse("not set");
            return new ChangeResult.Acceptable(base.version(), change.setting().toString(), before, edit.text());
        } catch (ConfigurationException e) {
            return new ChangeResult.Rejected(e.getMessage(), e.remedy());
        }
    }

    private CompletableFuture<ChangeResult> write(Base base) {
        try {
            SettingEdit edit = change.editOf(base.configuration());
            return then(
                    prepared(base),
                    head -> head.map(ready -> write(ready, base, edit)).orElseGet(this::storeDown),
                    failure -> storeDown());
        } catch (ConfigurationException e) {
            return done(new ChangeResult.Rejected(e.getMessage(), e.remedy()));
        }
    }

    /** The head to write on: with its first snapshot if it is new, shorter if it has grown; empty if neither works. */
    private CompletableFuture<Optional<StoredHead>> prepared(Base base) {
        StoredHead head = base.head();
        if (head.storeVersion() == PlatformStore.ABSENT) {
            return context.compactor()
                    .writeSnapshot(base.configuration(), 0)
                    .thenApply(ref -> ref.map(head::withSnapshot));
        }
        return context.compactor()
                .compact(head, base.configuration())
                .thenApply(
                        shorter -> Optional.of(shorter).filter(h -> h.records().size() < MAX_HEAD_RECORDS));
    }

    private CompletableFuture<ChangeResult> storeDown() {
        return done(new ChangeResult.NotAccepted(STORE_DOWN));
    }

    private CompletableFuture<ChangeResult> write(StoredHead head, Base base, SettingEdit edit) {
        ChangeRecord record = new ChangeRecord(
                base.head().version() + 1,
                id,
                operator,
                context.clock().instant(),
                change.setting(),
                change.statement(),
                edit);
        return send(new Attempt(head.plus(record), record, base.configuration().with(edit)));
    }

    /** One compare-and-set, to be repeated byte for byte only. Immutable. */
    private record Attempt(StoredHead head, ChangeRecord record, Configuration next) {}

    private CompletableFuture<ChangeResult> send(Attempt attempt) {
        return then(
                context.store()
                        .compareAndSet(
                                StoreKeys.HEAD,
                                attempt.head().storeVersion(),
                                attempt.head().encode()),
                result -> sent(attempt, result),
                failure -> settle(attempt));
    }

    private CompletableFuture<ChangeResult> sent(Attempt attempt, WriteResult result) {
        return switch (result.kind()) {
            case APPLIED -> done(accepted(attempt));
            case CONFLICT -> inTheWay(attempt, result);
            case NOT_APPLIED -> settling == 0 ? readFailed(null) : settle(attempt);
            case UNKNOWN -> settle(attempt);
        };
    }

    /**
     * Looks at the value in the way.
     *
     * <p>Guards against a client of the store that sends a write twice, as some do when a connection breaks: the second
     * sending is in conflict with the first, and the operator would be told of a conflict with his own change.
     */
    private CompletableFuture<ChangeResult> inTheWay(Attempt attempt, WriteResult result) {
        return then(
                ConfigurationStore.decodeHead(result.current()),
                head -> head.flatMap(now -> now.change(attempt.record().version()))
                        .map(made -> settled(attempt, made))
                        .orElseGet(() -> settle(attempt)),
                failure -> settle(attempt));
    }

    private ChangeResult accepted(Attempt attempt) {
        ChangeRecord record = attempt.record();
        context.keeper().take(attempt.next(), ImmutableList.of(record));
        context.events()
                .record(
                        EventKind.CONFIGURATION_CHANGED,
                        "version " + record.version(),
                        record.statement() + " by " + operator);
        return new ChangeResult.Accepted(record.version(), id);
    }

    /**
     * Settles a write whose answer was lost.
     *
     * <p>The failure: the store applies the write, its answer never comes, and the operator is told that nothing
     * happened, or the change is written twice. The version that the write would have made tells: if the head has moved
     * past it, it either is this change or never will be, as the compare-and-set was for just that step. If the head
     * has not moved, the write may still land; the same bytes are sent again, of which at most one can take effect.
     */
    private CompletableFuture<ChangeResult> settle(Attempt attempt) {
        settling++;
        if (settling > MAX_SETTLING || isLate()) {
            return done(new ChangeResult.Unknown(
                    id, "the change may be in force now or later: look for the change id in show changes"));
        }
        return again(
                settling,
                () -> then(context.reader().readHead(), head -> settle(attempt, head), failure -> settle(attempt)));
    }

    private CompletableFuture<ChangeResult> settle(Attempt attempt, Optional<StoredHead> stored) {
        long version = attempt.record().version();
        if (stored.isEmpty() || stored.get().version() < version) {
            return send(attempt);
        }
        StoredHead head = stored.get();
        return then(
                context.reader().changes(head, version - 1),
                changes -> settled(attempt, changes.get(0)),
                failure -> settle(attempt));
    }

    private CompletableFuture<ChangeResult> settled(Attempt attempt, ChangeRecord inStore) {
        if (inStore.changeId().equals(id)) {
            return done(accepted(attempt));
        }
        settling = 0;
        return again(rounds, this::round);
    }

    private CompletableFuture<ChangeResult> again(int count, Supplier<CompletableFuture<ChangeResult>> step) {
        long millis = Math.min(MAX_BACKOFF.toMillis(), BACKOFF.toMillis() << Math.min(count, MAX_SETTLING));
        return context.later(Duration.ofMillis(millis), step);
    }

    private static CompletableFuture<ChangeResult> done(ChangeResult result) {
        return CompletableFuture.completedFuture(result);
    }

    /** Goes on, on the control thread, by what the future ends with. */
    private <T> CompletableFuture<ChangeResult> then(
            CompletableFuture<T> future,
            Function<T, CompletableFuture<ChangeResult>> onValue,
            Function<Throwable, CompletableFuture<ChangeResult>> onFailure) {
        return future.handleAsync(
                        (value, failure) -> failure == null ? onValue.apply(value) : onFailure.apply(failure),
                        context.control())
                .thenCompose(result -> result);
    }
}
