package io.beryldock.platform;

import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Tracks which start of the target in this VM is the current one.
 *
 * <p>State is used on the control thread only; {@link #current()} is thread safe.
 *
 * <p>A heartbeat of an ended start may arrive after a new start has announced itself at the same address. If that
 * heartbeat made the ended start current again, the target would refuse every call as misdirected. Starts are therefore
 * ordered by the start times in their heartbeats. If heartbeats contain no start time, an id that has been replaced
 * becomes current again only after two further heartbeats with increasing sequences, which a single late heartbeat
 * cannot provide; an id that has ended does not become current again.
 */
final class LocalTargets {

    /** Previous starts to remember: targets restart rarely, and heartbeats arrive late by seconds at most. */
    private static final int MAX_PREVIOUS = 64;

    /** Heartbeats with increasing sequences after which a replaced start becomes current again. */
    private static final int REQUIRED_PROOFS = 2;

    private static final CurrentStart NONE = new CurrentStart("", Heartbeat.UNKNOWN_START, 0);

    private final Executor control;
    private final Consumer<Announcement> announcements;
    private final Runnable onNewStart;
    private final Map<String, PreviousStart> previous = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PreviousStart> eldest) {
            return size() > MAX_PREVIOUS;
        }
    };
    private CurrentStart currentStart = NONE;
    private Optional<Announcement> lastAnnouncement = Optional.empty();
    private volatile Optional<LocalTarget> current = Optional.empty();

    /**
     * Creates a tracker without a current start.
     *
     * @param onNewStart runs before the first announcement of each start except the first start
     */
    LocalTargets(Executor control, Consumer<Announcement> announcements, Runnable onNewStart) {
        this.control = control;
        this.announcements = announcements;
        this.onNewStart = onNewStart;
    }

    /** The current start and the highest sequence received from it. */
    private record CurrentStart(String id, long startedAt, long sequence) {

        boolean isNone() {
            return id.isEmpty();
        }
    }

    /**
     * A start that is not the current one.
     *
     * @param ended whether the target has reported its end
     * @param sequence the highest sequence received from it
     * @param proofs heartbeats with increasing sequences that were received from it since it was replaced
     */
    private record PreviousStart(long startedAt, boolean ended, long sequence, int proofs) {}

    Optional<LocalTarget> current() {
        return current;
    }

    /** Applies a heartbeat; the future completes when the gate has been updated. */
    CompletableFuture<Void> onHeartbeat(String id, Heartbeat heartbeat) {
        return CompletableFuture.runAsync(() -> apply(id, heartbeat), control);
    }

    /**
     * Records the end of a start; the gate admits no new work for it.
     *
     * @param startedAt start time in milliseconds, or {@link Heartbeat#UNKNOWN_START}
     */
    CompletableFuture<Void> onEnded(String id, long startedAt) {
        return CompletableFuture.runAsync(() -> endStart(id, startedAt), control);
    }

    private void apply(String id, Heartbeat heartbeat) {
        if (isCurrent(id, heartbeat.startedAtMillis())) {
            if (heartbeat.sequence() >= currentStart.sequence()) {
                currentStart = new CurrentStart(id, currentStart.startedAt(), heartbeat.sequence());
                announce(heartbeat.announcement().withStart(startOf(currentStart)));
            }
            return;
        }
        if (isEarlier(heartbeat) || isFromPreviousStart(id, heartbeat)) {
            return;
        }
        replaceCurrent(id, heartbeat);
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
            previous.put(
                    currentStart.id(), new PreviousStart(currentStart.startedAt(), false, currentStart.sequence(), 0));
        }
        previous.remove(id);
        if (lastAnnouncement.isPresent()) {
            onNewStart.run();
        }
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
        int proofs = heartbeat.sequence() > known.sequence() ? known.proofs() + 1 : known.proofs();
        if (!known.ended() && proofs >= REQUIRED_PROOFS) {
            return false;
        }
        previous.put(
                id,
                new PreviousStart(
                        known.startedAt(), known.ended(), Math.max(known.sequence(), heartbeat.sequence()), proofs));
        return true;
    }

    private void endStart(String id, long startedAt) {
        boolean ofCurrent = id.equals(currentStart.id());
        boolean startKnown = startedAt != Heartbeat.UNKNOWN_START;
        if (ofCurrent && startKnown && startedAt < currentStart.startedAt()) {
            // A late notice: an earlier start under the same id has ended.
            return;
        }
        previous.put(id, new PreviousStart(ofCurrent ? currentStart.startedAt() : startedAt, true, Long.MAX_VALUE, 0));
        if (ofCurrent) {
            currentStart = NONE;
            lastAnnouncement.ifPresent(announced -> announce(new Announcement(
                    announced.service(),
                    announced.address(),
                    announced.slots(),
                    TargetState.LEAVING,
                    announced.start())));
        }
    }

    private void announce(Announcement announcement) {
        lastAnnouncement = Optional.of(announcement);
        announcements.accept(announcement);
    }
}
