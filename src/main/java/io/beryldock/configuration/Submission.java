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
 * Writes one change to the store: reads the head, checks the change, writes it by compare-and-set, and resolves the
 * outcome if the answer was lost.
 *
 * <p>Confined to the control thread. Invariant: once a write may be under way, its outcome is resolved by reading back
 * before another write starts. The change therefore takes effect at most once and is never reported as accepted or not
 * accepted without proof.
 */
final class Submission {

    /** Upper bound of the duration of a submission, on which the operators' client relies. */
    static final int MAX_SECONDS = 40;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final int MAX_ROUNDS = 12;
    private static final int MAX_FAILURES = 3;
    private static final int MAX_RESOLVE_ATTEMPTS = 5;
    private static final int MAX_LOOK_BACK = 1024;
    private static final int MAX_HEAD_RECORDS = 512;
    private static final int MAX_OPERATOR = 100;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(30);
    private static final Duration BACKOFF = Duration.ofMillis(40);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
    private static final String STORE_DOWN =
            "the platform store can't be reached; nothing was changed: submit again when it is back";
    private static final String LOOK_AGAIN = "look at it with show configuration and submit again";

    private final WriterContext context;
    private final ConfigurationChange change;
    private final String operator;
    private final String changeId;
    private final long basedOnVersion;
    private final long startedAt;
    private int rounds;
    private int failures;
    private int resolveAttempts;

    private Submission(
            WriterContext context, ConfigurationChange change, String operator, long basedOnVersion, String changeId) {
        this.context = context;
        this.change = change;
        this.operator = operator;
        this.basedOnVersion = basedOnVersion;
        this.changeId = changeId;
        this.startedAt = context.timers().ticker().nanos();
    }

    static Submission of(WriterContext context, ConfigurationChange change, String operator, long basedOn) {
        long inForce = context.activeConfiguration().current().version();
        long basedOnVersion = basedOn == ConfigurationWriter.VERSION_IN_FORCE ? inForce : basedOn;
        return new Submission(context, change, operator, basedOnVersion, context.newChangeId());
    }

    /**
     * The newest configuration in the store, as the base of the change. Immutable.
     *
     * @param inForceBefore version in force at this node before the head was read
     */
    private record Base(StoredHead head, Configuration configuration, long inForceBefore) {

        /** Whether the store holds a lower version than was in force at this node before the read. */
        boolean storeLostChanges() {
            return head.version() < inForceBefore;
        }
    }

    CompletableFuture<ChangeResult> run() {
        if (operator.isEmpty() || operator.length() > MAX_OPERATOR) {
            return completed(new ChangeResult.Rejected(
                    "operator: the name is empty or longer than " + MAX_OPERATOR, "give a shorter name"));
        }
        return round();
    }

    /** Runs all steps except the write. */
    CompletableFuture<ChangeResult> check() {
        return then(readBase(), base -> checked(base, this::acceptable), e -> completed(acceptableLocally()));
    }

    private CompletableFuture<ChangeResult> round() {
        rounds++;
        if (rounds > MAX_ROUNDS || isLate()) {
            return completed(new ChangeResult.NotAccepted(
                    "other operators' changes came first each time, or the platform store is slow; submit again"));
        }
        return then(readBase(), base -> checked(base, this::write), this::readFailed);
    }

    private boolean isLate() {
        return context.timers().ticker().nanos() - startedAt > TIME_LIMIT.toNanos();
    }

    private CompletableFuture<ChangeResult> readFailed(Throwable failure) {
        log.atFine().log("reading the configuration failed: %s", failure);
        failures++;
        return failures > MAX_FAILURES
                ? completed(new ChangeResult.NotAccepted(STORE_DOWN))
                : retryLater(failures, this::round);
    }

    private CompletableFuture<Base> readBase() {
        long inForceBefore = context.activeConfiguration().current().version();
        return context.reader().readHead().thenComposeAsync(stored -> baseOf(stored, inForceBefore), context.control());
    }

    private CompletableFuture<Base> baseOf(Optional<StoredHead> stored, long inForceBefore) {
        Configuration known = context.activeConfiguration().current();
        StoredHead head = stored.orElseGet(this::newHead);
        if (head.version() < inForceBefore) {
            return CompletableFuture.completedFuture(new Base(head, known, inForceBefore));
        }
        if (head.version() < known.version()) {
            // A later change arrived at this node while the head was read.
            return readBase();
        }
        if (stored.isEmpty()) {
            Configuration first = known.withVersion(head.lineage(), known.version());
            return CompletableFuture.completedFuture(new Base(head, first, inForceBefore));
        }
        return context.reader()
                .load(head, known)
                .thenApplyAsync(document -> adoptBase(head, document, inForceBefore), context.control());
    }

    /** Returns the head before the first change, whose version 0 is the built-in defaults. */
    private StoredHead newHead() {
        SnapshotRef none = new SnapshotRef(Configuration.DEFAULTS_VERSION, 0, 0, 0);
        return new StoredHead(
                PlatformStore.ABSENT, context.newLineage(), Configuration.DEFAULTS_VERSION, none, ImmutableList.of());
    }

    private Base adoptBase(StoredHead head, DocumentCodec.Document document, long inForceBefore) {
        context.activeConfiguration().adopt(document.configuration(), document.recent());
        return new Base(head, document.configuration(), inForceBefore);
    }

    private CompletableFuture<ChangeResult> checked(
            Base base, Function<Base, CompletableFuture<ChangeResult>> ifNoConflict) {
        StoredHead head = base.head();
        // A store that was reset to an older state has lost accepted changes; a change written to it would come into
        // force on no node.
        if (base.storeLostChanges()) {
            return completed(new ChangeResult.NotAccepted("the platform store lost accepted changes: it holds version "
                    + head.version() + ", this node " + base.inForceBefore()
                    + "; give it back with restore configuration"));
        }
        if (basedOnVersion > head.version()) {
            return completed(
                    new ChangeResult.Rejected("version " + basedOnVersion + " does not exist yet", LOOK_AGAIN));
        }
        if (head.version() - basedOnVersion > MAX_LOOK_BACK) {
            return completed(new ChangeResult.Rejected("version " + basedOnVersion + " is too long ago", LOOK_AGAIN));
        }
        return then(
                context.reader().changes(head, basedOnVersion),
                since -> findConflict(since).map(Submission::completed).orElseGet(() -> ifNoConflict.apply(base)),
                this::readFailed);
    }

    private Optional<ChangeResult> findConflict(ImmutableList<ChangeRecord> since) {
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
        return completed(acceptableOn(base.configuration()));
    }

    private ChangeResult acceptableLocally() {
        return acceptableOn(context.activeConfiguration().current());
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
                    prepareHead(base),
                    head -> head.map(ready -> write(ready, base, edit)).orElseGet(this::storeUnavailable),
                    failure -> storeUnavailable());
        } catch (ConfigurationException e) {
            return completed(new ChangeResult.Rejected(e.getMessage(), e.remedy()));
        }
    }

    /**
     * Returns the head to which the change is added: with its first snapshot if the head is new, compacted if it is
     * long; empty if the snapshot cannot be written or the head stays too long.
     */
    private CompletableFuture<Optional<StoredHead>> prepareHead(Base base) {
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

    private CompletableFuture<ChangeResult> storeUnavailable() {
        return completed(new ChangeResult.NotAccepted(STORE_DOWN));
    }

    private CompletableFuture<ChangeResult> write(StoredHead head, Base base, SettingEdit edit) {
        ChangeRecord record = new ChangeRecord(
                base.head().version() + 1,
                changeId,
                operator,
                context.clock().instant(),
                change.setting(),
                change.statement(),
                edit);
        return writeHead(
                new Attempt(head.plus(record), record, base.configuration().with(edit)));
    }

    /** One compare-and-set, which may only be repeated byte for byte. Immutable. */
    private record Attempt(StoredHead head, ChangeRecord record, Configuration next) {}

    private CompletableFuture<ChangeResult> writeHead(Attempt attempt) {
        return then(
                context.store()
                        .compareAndSet(
                                StoreKeys.HEAD,
                                attempt.head().storeVersion(),
                                attempt.head().encode()),
                result -> onWritten(attempt, result),
                failure -> resolve(attempt));
    }

    private CompletableFuture<ChangeResult> onWritten(Attempt attempt, WriteResult result) {
        return switch (result.kind()) {
            case APPLIED -> completed(accepted(attempt));
            case CONFLICT -> onConflict(attempt, result);
            case NOT_APPLIED -> resolveAttempts == 0 ? readFailed(null) : resolve(attempt);
            case UNKNOWN -> resolve(attempt);
        };
    }

    /**
     * Examines the value that conflicts with the write.
     *
     * <p>Guards against a store client that sends a write twice, as some clients do when a connection breaks: the
     * second write conflicts with the first, and the change would be reported as conflicting with itself.
     */
    private CompletableFuture<ChangeResult> onConflict(Attempt attempt, WriteResult result) {
        return then(
                ConfigurationStore.decodeHead(result.current()),
                head -> head.flatMap(now -> now.change(attempt.record().version()))
                        .map(recorded -> onResolved(attempt, recorded))
                        .orElseGet(() -> resolve(attempt)),
                failure -> resolve(attempt));
    }

    private ChangeResult accepted(Attempt attempt) {
        ChangeRecord record = attempt.record();
        context.activeConfiguration().adopt(attempt.next(), ImmutableList.of(record));
        context.events()
                .record(
                        EventKind.CONFIGURATION_CHANGED,
                        "version " + record.version(),
                        record.statement() + " by " + operator);
        return new ChangeResult.Accepted(record.version(), changeId);
    }

    /**
     * Resolves a write whose answer was lost.
     *
     * <p>Guards against a write that the store applies although its answer never arrives: the operator would get a
     * report that nothing changed, or the change would be written twice. The version that the write would have created
     * shows the outcome. If the head has reached that version, either this change created it, or this change can never
     * take effect, because the compare-and-set was for exactly that step. If the head has not reached it, the write may
     * still take effect; the same bytes are sent again, and at most one of these writes can take effect.
     */
    private CompletableFuture<ChangeResult> resolve(Attempt attempt) {
        resolveAttempts++;
        if (resolveAttempts > MAX_RESOLVE_ATTEMPTS || isLate()) {
            return completed(new ChangeResult.Unknown(
                    changeId, "the change may be in force now or later: look for the change id in show changes"));
        }
        return retryLater(
                resolveAttempts,
                () -> then(context.reader().readHead(), head -> resolve(attempt, head), failure -> resolve(attempt)));
    }

    private CompletableFuture<ChangeResult> resolve(Attempt attempt, Optional<StoredHead> stored) {
        long version = attempt.record().version();
        if (stored.isEmpty() || stored.get().version() < version) {
            return writeHead(attempt);
        }
        StoredHead head = stored.get();
        return then(
                context.reader().changes(head, version - 1),
                changes -> onResolved(attempt, changes.get(0)),
                failure -> resolve(attempt));
    }

    private CompletableFuture<ChangeResult> onResolved(Attempt attempt, ChangeRecord inStore) {
        if (inStore.changeId().equals(changeId)) {
            return completed(accepted(attempt));
        }
        resolveAttempts = 0;
        return retryLater(rounds, this::round);
    }

    private CompletableFuture<ChangeResult> retryLater(int count, Supplier<CompletableFuture<ChangeResult>> step) {
        long millis = Math.min(MAX_BACKOFF.toMillis(), BACKOFF.toMillis() << Math.min(count, MAX_RESOLVE_ATTEMPTS));
        return context.runAfterJitter(Duration.ofMillis(millis), step);
    }

    private static CompletableFuture<ChangeResult> completed(ChangeResult result) {
        return CompletableFuture.completedFuture(result);
    }

    /** Continues on the control thread with the value or the failure of the future. */
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
