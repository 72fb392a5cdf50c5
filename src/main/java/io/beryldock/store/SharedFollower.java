package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.Moment;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Follows one prefix of the store: directly while this node is a watcher, and through notices of other nodes otherwise.
 *
 * <p>Used on the timer thread only. The listener receives each change of a key once, in the order of revisions,
 * regardless of the source of the change.
 */
final class SharedFollower implements StoreFollower.Listener {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 1;

    private final String prefix;
    private final RegistryStore store;
    private final TimerService timers;
    private final Moment.Source clock;
    private final EntryTable table;
    private final EntryListener listener;
    private final Owner owner;
    private final StoreFollower follower;
    private final long maxAgeNanos;
    private final FollowerCounters counters = new FollowerCounters();
    private boolean watcher;
    private StoreRevision forwardedRevision = StoreRevision.NONE;
    private boolean overtakenBefore;
    private Moment startedAt;
    private StoreRevision undecodableRevision = StoreRevision.NONE;

    /** The latest moment at which the store held nothing that this node had not read; null before the first check. */
    private Check checked;

    /**
     * The latest moment at which the store held nothing that this node does not apply. Written on the control thread
     * only; read by request threads, which check its age.
     */
    private volatile Check verified;

    SharedFollower(
            String prefix,
            Duration batchDelay,
            Duration maxAge,
            EntryListener listener,
            Owner owner,
            RegistryStore store,
            TimerService timers,
            Moment.Source clock,
            RandomGenerator random) {
        this.prefix = prefix;
        this.maxAgeNanos = maxAge.toNanos();
        this.store = store;
        this.timers = timers;
        this.clock = clock;
        this.table = new EntryTable(prefix);
        this.listener = listener;
        this.owner = owner;
        this.follower = StoreFollower.create(store, prefix, batchDelay, () -> watcher, timers, random, this, counters);
    }

    /** A moment at which the store was asked, and the revision that it had then or later. Immutable. */
    private record Check(Moment moment, StoreRevision revision) {

        /** Whether a check has shown this revision or a later one of its era. */
        static boolean covers(Check check, StoreRevision revision) {
            return check != null && revision.isSameEra(check.revision) && !revision.isAfter(check.revision);
        }

        /** The later of both; the first one may be null. */
        static Check later(Check known, Check other) {
            return known == null || other.moment.isAfter(known.moment) ? other : known;
        }
    }

    /** Starts with a listing of the entries. */
    void start() {
        startedAt = clock.now();
        follower.start();
    }

    /** Receives the events of a follower. */
    interface Owner {

        /** The store reported all changes up to the follower's revision. */
        void onChanges(SharedFollower follower);

        /** A call of the store ended; {@code answered} is false when it failed. */
        void onStore(boolean answered);
    }

    boolean knowsEntries() {
        return table.hasEntries();
    }

    String prefix() {
        return prefix;
    }

    StoreRevision revision() {
        return table.revision();
    }

    /** The revision of the latest change that this node has applied. */
    StoreRevision lastChange() {
        return table.lastChange();
    }

    /** The revision up to which this node has forwarded the store's changes to other nodes. */
    StoreRevision forwardedRevision() {
        return forwardedRevision;
    }

    /** Starts watching the store, or stops watching it at the end of the current watch. */
    void setWatcher(boolean value) {
        if (value != watcher) {
            log.atInfo().log(
                    value ? "watching %s on behalf of the data centre" : "leaving the watch of %s to other nodes",
                    prefix);
        }
        if (value && !watcher) {
            forwardedRevision = table.revision();
        }
        watcher = value;
        if (watcher) {
            follower.resume(table.revision());
        }
    }

    /**
     * Replaces the watch when this node has known a later change at this call and at the previous one, or when the
     * watch has not ended in time.
     *
     * <p>A connection that silently drops data reports no error: without this check the watch would wait until its
     * timeout although the store has changes.
     */
    void replaceSilentWatch() {
        follower.restartIfStalled();
        boolean overtaken = watcher && table.lastChange().isAfter(follower.watchRevision());
        if (overtaken && overtakenBefore) {
            follower.restartWatchFrom(table.revision());
        }
        overtakenBefore = overtaken && !overtakenBefore;
    }

    void restartWatch() {
        if (watcher) {
            follower.restartWatch();
        }
    }

    /** Enters an era of the store. A watch that began in an earlier era waits for revisions that may never come. */
    void enterEra(long era) {
        if (!watcher || follower.watchRevision().era() >= era) {
            return;
        }
        if (table.revision().era() >= era) {
            follower.restartWatchFrom(table.revision());
        } else {
            follower.start();
        }
    }

    /** How this node follows the prefix. */
    FollowerStats stats() {
        return counters.stats(prefix, watcher, checkedAgeNanos());
    }

    StorePart since(StoreRevision revision) {
        return table.since(revision, timers.ticker().nanos());
    }

    /** Whether the last check is older than the share of the longest allowed age. */
    boolean isCheckOlderThan(double shareOfMaxAge, Moment now) {
        return checked == null || checked.moment().ageNanos(now) >= shareOfMaxAge * maxAgeNanos;
    }

    /**
     * Handles the revision that the store had when it was asked at the given moment or later. If the store has changed
     * since the last check, the entries are listed.
     *
     * <p>A watch that ends without changes proves nothing about its last second, as a store that compacts its history
     * may withhold changes from watches for that long. A listing does prove it.
     *
     * @param shareOfMaxAge age of the last check, as a share of the longest allowed one, from which entries are listed
     */
    void check(Moment asked, StoreRevision revision, double shareOfMaxAge) {
        if (Check.covers(checked, revision)) {
            noteChecked(asked, revision);
            if (Check.covers(verified, revision)) {
                noteVerified(asked, revision);
            }
        } else if (isCheckOlderThan(shareOfMaxAge, asked)) {
            list();
        }
    }

    private void list() {
        counters.countListing();
        Moment asked = clock.now();
        TimerThread.onCompletion(timers, store.list(prefix), (listing, failure) -> {
            onStore(failure == null);
            if (failure == null) {
                StoreRevision known = table.revision();
                reportMissed(applyStored(listing), known);
                onCaughtUp(listing.revision());
                noteChecked(asked, listing.revision());
                noteVerified(asked, listing.revision());
            }
        });
    }

    private void reportMissed(ImmutableList<Entry> missed, StoreRevision known) {
        if (missed.isEmpty()) {
            return;
        }
        counters.countMissedChanges(missed.size());
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "the store lists %d changes of %s up to revision %s that this node had not heard of; it knew revision"
                        + " %s, and its last check was %s ms ago",
                missed.size(),
                prefix,
                missed.get(missed.size() - 1).revision(),
                known,
                checkedAgeNanos().map(TimeUnit.NANOSECONDS::toMillis).orElse(null));
    }

    /**
     * Records that the store, when asked at the given moment or later, was at the revision. Counts only if this node
     * has received every change up to it.
     */
    void noteChecked(Moment asked, StoreRevision revision) {
        if (!revision.isAfter(table.revision())) {
            checked = Check.later(checked, new Check(asked, revision));
        }
    }

    /** Time since the last check; empty before the first one. */
    Optional<Long> checkedAgeNanos() {
        return Optional.ofNullable(checked).map(check -> check.moment().ageNanos(clock.now()));
    }

    /** The store's revision at the last check. */
    StoreRevision checkedRevision() {
        return checked == null ? StoreRevision.NONE : checked.revision();
    }

    /**
     * Records that the store, when asked at the given moment or later, had nothing newer than the revision.
     *
     * <p>The verification counts only if this node has applied every change up to that revision and could decode the
     * latest one.
     */
    void noteVerified(Moment asked, StoreRevision revision) {
        if (!revision.isAfter(table.revision()) && undecodableRevision.equals(StoreRevision.NONE)) {
            verified = Check.later(verified, new Check(asked, revision));
        }
    }

    /** The latest moment at which the store provably had nothing newer than this node; empty before a verification. */
    Optional<Moment> verified() {
        return Optional.ofNullable(verified).map(Check::moment);
    }

    /** The store's revision at the last verification. */
    StoreRevision verifiedRevision() {
        Check last = verified;
        return last == null ? StoreRevision.NONE : last.revision();
    }

    /** The entry that the listener still applies although the store no longer holds it. */
    Optional<Entry> kept() {
        return listener.retainedEntry();
    }

    /**
     * Applies a part of another node's notice; false when changes that precede the part are missing.
     *
     * <p>Changes of an earlier era are ignored, as the store has lost those that its restored copy does not contain.
     * Changes of a later era don't show which entries the store lost between the eras.
     */
    boolean apply(StorePart part) {
        if (part.hasKept()) {
            listener.onRetainedEntry(StoreParts.entry(part.getKept()));
        }
        if (part.getWhole()) {
            applyListing(StoreParts.listing(part));
            return true;
        }
        StoreRevision revision = StoreParts.revision(part);
        if (!revision.isSameEra(table.revision())) {
            return table.revision().isAfter(revision);
        }
        StoreParts.entries(part).forEach(this::onChange);
        if (StoreParts.since(part).isAfter(table.revision())) {
            return false;
        }
        table.advance(revision);
        return true;
    }

    /** The listing may have been requested after {@code startedAt}, so its verification is at least that recent. */
    @Override
    public void onListing(Listing listing) {
        applyStored(listing);
        noteChecked(startedAt, listing.revision());
        noteVerified(startedAt, listing.revision());
    }

    /**
     * Applies a listing of the store and returns the changes that it showed. Unlike notices of other nodes it also
     * contains entries that can't be decoded.
     */
    private ImmutableList<Entry> applyStored(Listing listing) {
        if (!table.isOutdated(listing)) {
            undecodableRevision = StoreRevision.NONE;
        }
        return applyListing(listing);
    }

    private ImmutableList<Entry> applyListing(Listing listing) {
        if (table.isOutdated(listing)) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "ignoring a listing of %s at revision %s: it is older than the known revision %s",
                    prefix, listing.revision(), table.revision());
            return ImmutableList.of();
        }
        ImmutableList<Entry> changes = table.changesTo(listing);
        changes.forEach(this::onChange);
        table.advance(listing.revision());
        return changes;
    }

    @Override
    public void onChange(Entry entry) {
        if (!table.isNewer(entry)) {
            log.atFine().log(
                    "ignoring %s at revision %s: it is not newer than the known state", entry.key(), entry.revision());
            return;
        }
        if (deliver(entry)) {
            table.apply(entry, timers.ticker().nanos());
            undecodableRevision =
                    undecodableRevision.isAfter(entry.revision()) ? undecodableRevision : StoreRevision.NONE;
        } else {
            undecodableRevision = StoreRevision.later(undecodableRevision, entry.revision());
        }
    }

    /** Delivers the entry. A listener that fails must not end the watch, which would report nothing any more. */
    private boolean deliver(Entry entry) {
        try {
            return listener.onEntry(entry);
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log(
                    "%s at revision %s could not be applied; it is tried again with the next listing",
                    entry.key(), entry.revision());
            return false;
        }
    }

    @Override
    public void onCaughtUp(StoreRevision revision) {
        table.advance(revision);
        if (table.lastChange().isAfter(forwardedRevision)) {
            owner.onChanges(this);
            forwardedRevision = table.revision();
        }
    }

    @Override
    public StoreRevision knownRevision() {
        return table.revision();
    }

    @Override
    public void onStore(boolean answered) {
        listener.onStore(answered);
        owner.onStore(answered);
    }
}
