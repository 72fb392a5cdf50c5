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
 * bring the ended start back and every call would be refused as misdirected. An id that was replaced or has ended comes
 * back only with two further heartbeats in order, which a single late one never is.
 */
final class LocalTargets {

    /** Ended starts that are remembered: targets restart rarely, and heartbeats are late by seconds. */
    private static final int REMEMBERED = 64;

    private static final int PROOFS = 2;

    private final Executor control;
    private final Consumer<Announcement> announcements;
    private final Map<String, Past> past = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Past> eldest) {
            return size() > REMEMBERED;
        }
    };
    private String id = "";
    private long sequence;
    private Optional<Announcement> last = Optional.empty();
    private volatile Optional<LocalTarget> current = Optional.empty();

    LocalTargets(Executor control, Consumer<Announcement> announcements) {
        this.control = control;
        this.announcements = announcements;
    }

    /** A start that is not the present one: whether it said that it ends, its last sequence and its proofs of life. */
    private record Past(boolean ended, long sequence, int proofs) {}

    Optional<LocalTarget> current() {
        return current;
    }

    /** Takes a heartbeat in; completes when the gate has heard of it. */
    CompletableFuture<Void> heard(String from, Heartbeat beat) {
        return CompletableFuture.runAsync(() -> take(from, beat), control);
    }

    /** The start ends: no new work from now on. */
    CompletableFuture<Void> ended(String from) {
        return CompletableFuture.runAsync(() -> end(from), control);
    }

    private void take(String from, Heartbeat beat) {
        if (from.equals(id)) {
            if (beat.sequence() >= sequence) {
                sequence = beat.sequence();
                announce(beat.announcement());
            }
            return;
        }
        if (isPast(from, beat)) {
            return;
        }
        if (!id.isEmpty()) {
            past.put(id, new Past(false, sequence, 0));
        }
        id = from;
        sequence = beat.sequence();
        current = Optional.of(new LocalTarget(from, beat.announcement().socketAddress()));
        announce(beat.announcement());
    }

    private boolean isPast(String from, Heartbeat beat) {
        Past known = past.get(from);
        if (known == null) {
            return false;
        }
        int proofs = beat.sequence() > known.sequence() ? known.proofs() + 1 : known.proofs();
        if (!known.ended() && proofs >= PROOFS) {
            past.remove(from);
            return false;
        }
        past.put(from, new Past(known.ended(), Math.max(known.sequence(), beat.sequence()), proofs));
        return true;
    }

    private void end(String from) {
        past.put(from, new Past(true, Long.MAX_VALUE, 0));
        if (from.equals(id)) {
            id = "";
            last.ifPresent(known ->
                    announce(new Announcement(known.service(), known.address(), known.slots(), TargetState.LEAVING)));
        }
    }

    private void announce(Announcement announcement) {
        last = Optional.of(announcement);
        announcements.accept(announcement);
    }
}
