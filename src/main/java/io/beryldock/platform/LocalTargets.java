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
 * Which start of the target in this VM is the present one.
 *
 * <p>State is used on the control thread only; {@link #current()} is thread safe. Guards against a heartbeat of an
 * ended start that comes late, after a new start has announced itself at the same address: taken for news it would
 * bring the ended start back and every call would be refused as misdirected. Starts are ordered by the time at which
 * they say that they began. Where they don't say it, an id that was replaced or has ended comes back only with two
 * further heartbeats in order, which a single late one never is.
 */
final class LocalTargets {

    /** Ended starts that are remembered: targets restart rarely, and heartbeats are late by seconds. */
    private static final int REMEMBERED = 64;

    private static final int PROOFS = 2;

    private static final Present NONE = new Present("", Heartbeat.UNKNOWN_START, 0);

    private final Executor control;
    private final Consumer<Announcement> announcements;
    private final Runnable onNewStart;
    private final Map<String, Past> past = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Past> eldest) {
            return size() > REMEMBERED;
        }
    };
    private Present present = NONE;
    private Optional<Announcement> last = Optional.empty();
    private volatile Optional<LocalTarget> current = Optional.empty();

    /**
     * Knows no target yet.
     *
     * @param onNewStart runs before the first announcement of each start but the first one
     */
    LocalTargets(Executor control, Consumer<Announcement> announcements, Runnable onNewStart) {
        this.control = control;
        this.announcements = announcements;
        this.onNewStart = onNewStart;
    }

    /** The start that is taken for the present one, and its last sequence. */
    private record Present(String id, long startedAt, long sequence) {

        boolean isNone() {
            return id.isEmpty();
        }
    }

    /** A start that is not the present one: when it began, whether it has ended, its last sequence, proofs of life. */
    private record Past(long startedAt, boolean ended, long sequence, int proofs) {}

    Optional<LocalTarget> current() {
        return current;
    }

    /** Takes a heartbeat in; completes when the gate has heard of it. */
    CompletableFuture<Void> heard(String from, Heartbeat beat) {
        return CompletableFuture.runAsync(() -> take(from, beat), control);
    }

    /**
     * The start ends: no new work from now on.
     *
     * @param startedAt when it began, as far as it says so
     */
    CompletableFuture<Void> ended(String from, long startedAt) {
        return CompletableFuture.runAsync(() -> end(from, startedAt), control);
    }

    private void take(String from, Heartbeat beat) {
        if (isPresent(from, beat.startedAtMillis())) {
            if (beat.sequence() >= present.sequence()) {
                present = new Present(from, present.startedAt(), beat.sequence());
                announce(beat.announcement());
            }
            return;
        }
        if (isEarlier(beat) || isPast(from, beat)) {
            return;
        }
        begin(from, beat);
    }

    private boolean isPresent(String from, long startedAt) {
        return from.equals(present.id()) && startedAt == present.startedAt();
    }

    /** Both starts say when they began, and this one began first. */
    private boolean isEarlier(Heartbeat beat) {
        boolean known = !present.isNone() && present.startedAt() != Heartbeat.UNKNOWN_START;
        return known && beat.startedAtMillis() < present.startedAt();
    }

    private void begin(String from, Heartbeat beat) {
        if (!present.isNone()) {
            past.put(present.id(), new Past(present.startedAt(), false, present.sequence(), 0));
        }
        past.remove(from);
        if (last.isPresent()) {
            onNewStart.run();
        }
        present = new Present(from, beat.startedAtMillis(), beat.sequence());
        current = Optional.of(new LocalTarget(from, beat.announcement().socketAddress()));
        announce(beat.announcement());
    }

    private boolean isPast(String from, Heartbeat beat) {
        Past known = past.get(from);
        if (known == null || beat.startedAtMillis() > known.startedAt()) {
            return false;
        }
        int proofs = beat.sequence() > known.sequence() ? known.proofs() + 1 : known.proofs();
        if (!known.ended() && proofs >= PROOFS) {
            return false;
        }
        past.put(from, new Past(known.startedAt(), known.ended(), Math.max(known.sequence(), beat.sequence()), proofs));
        return true;
    }

    private void end(String from, long startedAt) {
        boolean ofPresent = from.equals(present.id());
        boolean told = startedAt != Heartbeat.UNKNOWN_START;
        if (ofPresent && told && startedAt < present.startedAt()) {
            // The end of an earlier start under the same id, come late.
            return;
        }
        past.put(from, new Past(ofPresent ? present.startedAt() : startedAt, true, Long.MAX_VALUE, 0));
        if (ofPresent) {
            present = NONE;
            last.ifPresent(known ->
                    announce(new Announcement(known.service(), known.address(), known.slots(), TargetState.LEAVING)));
        }
    }

    private void announce(Announcement announcement) {
        last = Optional.of(announcement);
        announcements.accept(announcement);
    }
}
