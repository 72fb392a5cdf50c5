package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.DepartedStart;
import io.beryldock.membership.TargetDepartures;
import io.beryldock.membership.TargetState;
import io.beryldock.time.Moment;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/**
 * Tracks which start of the target in this VM is the current one.
 *
 * <p>State is used on the control thread only; {@link #current()} is thread safe.
 *
 * <p>A heartbeat of an ended start may arrive after a new start has announced itself at the same address. If that
 * heartbeat made the ended start current again, the target would refuse every call as misdirected. Starts are therefore
 * ordered by the start times in their heartbeats. If heartbeats contain no start time, an unknown start replaces the
 * current one only if it says itself that it serves, or after two further heartbeats with increasing sequences, which a
 * single late heartbeat cannot provide; a start that has been replaced is not asked, and needs the heartbeats.
 *
 * <p>A start that has announced its departure is never ready again, whatever it is when the announcement arrives:
 * current, replaced or unknown.
 *
 * <p>This holds across restarts of the node: a departure is confirmed only when it has been recorded for later
 * processes. Until a process has read what earlier ones recorded, an unknown start must also say itself that it serves,
 * as several heartbeats may have been delayed together.
 */
final class LocalTargets {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    /** Previous starts to remember: targets restart rarely, and heartbeats arrive late by seconds at most. */
    private static final int MAX_PREVIOUS = 64;

    /** Heartbeats with increasing sequences after which a replaced start becomes current again. */
    private static final int REQUIRED_PROOFS = 2;

    private static final CompletableFuture<Void> DONE = CompletableFuture.completedFuture(null);
    private static final CurrentStart NONE = new CurrentStart("", Heartbeat.UNKNOWN_START, 0);

    private final Executor control;
    private final Consumer<Announcement> announcements;
    private final Runnable onNewStart;
    private final TargetDepartures departures;
    private final TargetHealth health;
    private final Moment.Source clock;
    private final Map<String, PreviousStart> previous = new BoundedMap<>();

    /** The start times of starts that have announced their departure, by id. */
    private final Map<String, Long> departed = new BoundedMap<>();

    private CurrentStart currentStart = NONE;
    private Optional<Announcement> lastAnnouncement = Optional.empty();
    private boolean recalled;
    private Optional<UnknownStart> awaitingRecall = Optional.empty();
    private volatile Optional<LocalTarget> current = Optional.empty();

    /**
     * Creates a tracker without a current start.
     *
     * @param onNewStart runs before the first announcement of each start except the first start
     * @param departures is called on the control thread
     */
    LocalTargets(
            Executor control,
            Consumer<Announcement> announcements,
            Runnable onNewStart,
            TargetDepartures departures,
            TargetHealth health,
            Moment.Source clock) {
        this.control = control;
        this.announcements = announcements;
        this.onNewStart = onNewStart;
        this.departures = departures;
        this.health = health;
        this.clock = clock;
    }

    /** Reads what earlier processes of this node have recorded. */
    void start() {
        control.execute(() -> departures.readEarlier(this::recall));
    }

    /** The current start and the highest sequence received from it. */
    private record CurrentStart(String id, long startedAt, long sequence) {

        boolean isNone() {
            return id.isEmpty();
        }

        boolean isSameStart(CurrentStart other) {
            return id.equals(other.id) && startedAt == other.startedAt;
        }
    }

    /**
     * A start that is not the current one and has not departed.
     *
     * @param sequence the highest sequence received from it
     * @param proofs further heartbeats with increasing sequences that were received from it
     * @param replaced whether this process has known it as the current start
     */
    private record PreviousStart(long startedAt, long sequence, int proofs, boolean replaced) {

        static PreviousStart replaced(CurrentStart start) {
            return new PreviousStart(start.startedAt(), start.sequence(), 0, true);
        }

        static PreviousStart unknown(Heartbeat heartbeat) {
            return new PreviousStart(heartbeat.startedAtMillis(), heartbeat.sequence(), 0, false);
        }

        /** Counts the heartbeat as a proof if its sequence is the highest so far. */
        PreviousStart with(Heartbeat heartbeat) {
            boolean increased = heartbeat.sequence() > sequence;
            return increased ? new PreviousStart(startedAt, heartbeat.sequence(), proofs + 1, replaced) : this;
        }
    }

    /** The last heartbeat of a start that an earlier process may have known. */
    private record UnknownStart(String id, Heartbeat heartbeat) {}

    /** A map that keeps the entries that were added last. */
    private static final class BoundedMap<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > MAX_PREVIOUS;
        }
    }

    Optional<LocalTarget> current() {
        return current;
    }

    /**
     * Applies a heartbeat.
     *
     * @return completes when the gate has been updated and, if the start is leaving, its departure has been recorded
     */
    CompletableFuture<Void> onHeartbeat(String id, Heartbeat heartbeat) {
        return onControl(() -> {
            apply(id, heartbeat);
            boolean leaving = heartbeat.announcement().state() == TargetState.LEAVING;
            return leaving ? departures.add(new DepartedStart(id, heartbeat.startedAtMillis())) : DONE;
        });
    }

    /**
     * Records the end of a start; the gate admits no new work for it.
     *
     * @param startedAt start time in milliseconds, or {@link Heartbeat#UNKNOWN_START}
     * @return completes when the gate has been updated and the departure has been recorded
     */
    CompletableFuture<Void> onEnded(String id, long startedAt) {
        log.atInfo().log("start %s of the target ends", id);
        boolean startKnown = startedAt != Heartbeat.UNKNOWN_START;
        return onControl(() -> departures.add(endStart(id, startKnown ? startedAt : latestStartOf(id))));
    }

    private CompletableFuture<Void> onControl(Supplier<CompletableFuture<Void>> task) {
        return CompletableFuture.supplyAsync(task, control).thenCompose(Function.identity());
    }

    private void recall(ImmutableList<DepartedStart> earlier) {
        recalled = true;
        earlier.forEach(start -> endStart(start.id(), start.startedAtMillis()));
        awaitingRecall.ifPresent(waiting -> {
            previous.remove(waiting.id());
            apply(waiting.id(), waiting.heartbeat());
        });
        awaitingRecall = Optional.empty();
    }

    private void apply(String id, Heartbeat heartbeat) {
        boolean leaving = heartbeat.announcement().state() == TargetState.LEAVING;
        boolean ofCurrent = isCurrent(id, heartbeat.startedAtMillis());
        if (hasDeparted(id, heartbeat.startedAtMillis()) && !(leaving && ofCurrent)) {
            log.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "ignored a heartbeat of start %s, which has announced that it leaves", id);
            return;
        }
        if (leaving) {
            departed.merge(id, heartbeat.startedAtMillis(), Math::max);
        }
        if (ofCurrent) {
            applyToCurrent(heartbeat, leaving);
            return;
        }
        if (isEarlier(heartbeat)) {
            return;
        }
        if (leaving) {
            applyLeaving(id, heartbeat);
        } else if (recalled) {
            applyReady(id, heartbeat);
        } else {
            applyBeforeRecall(id, heartbeat);
        }
    }

    /** Applies the departure of another start than the current one; it replaces none that may be running. */
    private void applyLeaving(String id, Heartbeat heartbeat) {
        if (!isContested(heartbeat) && !isFromPreviousStart(id, heartbeat)) {
            replaceCurrent(id, heartbeat);
        }
    }

    private void applyReady(String id, Heartbeat heartbeat) {
        if (isContested(heartbeat)) {
            previous.putIfAbsent(id, PreviousStart.unknown(heartbeat));
        }
        if (!isFromPreviousStart(id, heartbeat)) {
            replaceCurrent(id, heartbeat);
        } else if (!previous.get(id).replaced()) {
            verify(id, heartbeat);
        }
    }

    private void applyBeforeRecall(String id, Heartbeat heartbeat) {
        awaitingRecall = Optional.of(new UnknownStart(id, heartbeat));
        previous.putIfAbsent(id, PreviousStart.unknown(heartbeat));
        if (!isFromPreviousStart(id, heartbeat)) {
            verify(id, heartbeat);
        }
    }

    /** Whether a start that has not departed is current and no start times tell that the heartbeat's start is later. */
    private boolean isContested(Heartbeat heartbeat) {
        boolean serving = !currentStart.isNone() && !hasDeparted(currentStart.id(), currentStart.startedAt());
        boolean ordered = currentStart.startedAt() != Heartbeat.UNKNOWN_START
                && heartbeat.startedAtMillis() > currentStart.startedAt();
        return serving && !ordered;
    }

    private void applyToCurrent(Heartbeat heartbeat, boolean leaving) {
        if (leaving || heartbeat.sequence() >= currentStart.sequence()) {
            long sequence = Math.max(currentStart.sequence(), heartbeat.sequence());
            currentStart = new CurrentStart(currentStart.id(), currentStart.startedAt(), sequence);
            announce(heartbeat.announcement().withStart(startOf(currentStart)));
        }
    }

    private boolean hasDeparted(String id, long startedAt) {
        Long known = departed.get(id);
        return known != null && startedAt <= known;
    }

    /** Makes the start current if it says that it serves and no other start has become current meanwhile. */
    private void verify(String id, Heartbeat heartbeat) {
        CurrentStart before = currentStart;
        health.isServing(id, heartbeat.announcement())
                .thenAcceptAsync(serving -> onVerified(id, heartbeat, serving, before), control)
                .exceptionally(failure -> {
                    log.atSevere().withCause(failure).log("start %s of the target could not be made current", id);
                    return null;
                });
    }

    private void onVerified(String id, Heartbeat heartbeat, boolean serving, CurrentStart before) {
        boolean replaced = !currentStart.isNone() && !currentStart.isSameStart(before);
        boolean accepted = serving
                && !replaced
                && !isCurrent(id, heartbeat.startedAtMillis())
                && !hasDeparted(id, heartbeat.startedAtMillis());
        if (accepted) {
            replaceCurrent(id, heartbeat);
        }
    }

    private boolean isCurrent(String id, long startedAt) {
        return id.equals(currentStart.id()) && startedAt == currentStart.startedAt();
    }

    /** Whether both start times are known and the heartbeat's start is earlier than the current one. */
    private boolean isEarlier(Heartbeat heartbeat) {
        boolean startKnown = !currentStart.isNone() && currentStart.startedAt() != Heartbeat.UNKNOWN_START;
        return startKnown && heartbeat.startedAtMillis() < currentStart.startedAt();
    }

    private void replaceCurrent(String id, Heartbeat heartbeat) {
        if (!currentStart.isNone()) {
            previous.put(currentStart.id(), PreviousStart.replaced(currentStart));
        }
        previous.remove(id);
        if (lastAnnouncement.isPresent()) {
            onNewStart.run();
        }
        log.atInfo().log(
                "start %s of the target is current: %s, sequence %d, earlier departures read: %s",
                id, heartbeat.announcement().state(), heartbeat.sequence(), recalled);
        currentStart = new CurrentStart(id, heartbeat.startedAtMillis(), heartbeat.sequence());
        current = Optional.of(new LocalTarget(id, heartbeat.announcement().socketAddress()));
        announce(heartbeat.announcement().withStart(startOf(currentStart)));
    }

    /** Returns a name that differs between two starts under the same id if their start times are known. */
    private static String startOf(CurrentStart start) {
        return start.startedAt() == Heartbeat.UNKNOWN_START ? start.id() : start.id() + "@" + start.startedAt();
    }

    private boolean isFromPreviousStart(String id, Heartbeat heartbeat) {
        PreviousStart known = previous.get(id);
        if (known == null || heartbeat.startedAtMillis() > known.startedAt()) {
            return false;
        }
        PreviousStart next = known.with(heartbeat);
        if (next.proofs() >= REQUIRED_PROOFS) {
            return false;
        }
        previous.put(id, next);
        return true;
    }

    /** Ends a start and returns its departure. */
    private DepartedStart endStart(String id, long startedAt) {
        DepartedStart start = new DepartedStart(id, startedAt);
        departed.merge(id, startedAt, Math::max);
        // A late notice may be of an earlier start under the same id.
        if (start.covers(new DepartedStart(currentStart.id(), currentStart.startedAt()))) {
            currentStart = NONE;
            lastAnnouncement.ifPresent(announced -> announce(new Announcement(
                    announced.service(),
                    announced.address(),
                    announced.slots(),
                    TargetState.LEAVING,
                    announced.start())));
        }
        return start;
    }

    /**
     * Returns the latest start time that the sender of a notice without one may have.
     *
     * <p>Notices may lack the start time that heartbeats contain. The sender may be a start whose heartbeats have not
     * arrived yet; all of its start times are before now.
     */
    private long latestStartOf(String id) {
        OptionalLong known = knownStartOf(id);
        boolean withoutStartTimes = known.isPresent() && known.getAsLong() == Heartbeat.UNKNOWN_START;
        return withoutStartTimes
                ? Heartbeat.UNKNOWN_START
                : Math.max(known.orElse(Heartbeat.UNKNOWN_START), clock.now().wallMillis());
    }

    private OptionalLong knownStartOf(String id) {
        LongStream.Builder known = LongStream.builder();
        if (id.equals(currentStart.id())) {
            known.add(currentStart.startedAt());
        }
        Optional.ofNullable(previous.get(id)).map(PreviousStart::startedAt).ifPresent(known::add);
        Optional.ofNullable(departed.get(id)).ifPresent(known::add);
        return known.build().max();
    }

    private void announce(Announcement announcement) {
        lastAnnouncement = Optional.of(announcement);
        announcements.accept(announcement);
    }
}
