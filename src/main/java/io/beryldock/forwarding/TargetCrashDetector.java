package io.beryldock.forwarding;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.quarantine.Fingerprint;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tells a crash of the target from the loss of a single connection.
 *
 * <p>Guards against a request that crashes each target that runs it: what was in flight at a crash must be remembered.
 * A crash shows as lost exchanges followed by a refused connection; a target that still listens has only lost
 * connections. Thread safe.
 */
public final class TargetCrashDetector {

    /** Time in which the exchanges of one crash are gathered before the target is probed. */
    private static final Duration GATHERING = Duration.ofMillis(20);

    private final TargetProbe probe;
    private final Quarantine quarantine;
    private final TimerService timers;
    private final EventSink events;

    @GuardedBy("this")
    private final List<Fingerprint> lost = new ArrayList<>();

    @GuardedBy("this")
    private CompletableFuture<Void> decided = new CompletableFuture<>();

    private TargetCrashDetector(TargetProbe probe, Quarantine quarantine, TimerService timers, EventSink events) {
        this.probe = probe;
        this.quarantine = quarantine;
        this.timers = timers;
        this.events = events;
    }

    public static TargetCrashDetector create(
            TargetProbe probe, Quarantine quarantine, TimerService timers, EventSink events) {
        return new TargetCrashDetector(probe, quarantine, timers, events);
    }

    /**
     * An exchange with the target broke off while the request was in flight.
     *
     * @return completes when it is decided whether the target crashed, so that a caller who sends the request again at
     *     once meets the verdict
     */
    CompletableFuture<Void> onLost(AnnouncedTarget target, Fingerprint fingerprint) {
        boolean first;
        CompletableFuture<Void> awaited;
        synchronized (this) {
            first = lost.isEmpty();
            lost.add(fingerprint);
            awaited = decided;
        }
        if (first) {
            timers.after(GATHERING, () -> probe.listens(target.address()).thenAccept(up -> decide(target, up)));
        }
        return awaited;
    }

    private void decide(AnnouncedTarget target, boolean up) {
        List<Fingerprint> gathered;
        CompletableFuture<Void> end;
        synchronized (this) {
            gathered = List.copyOf(lost);
            lost.clear();
            end = decided;
            decided = new CompletableFuture<>();
        }
        if (up) {
            gathered.forEach(quarantine::onAbandoned);
        } else {
            crashed(target, gathered);
        }
        end.complete(null);
    }

    private void crashed(AnnouncedTarget target, List<Fingerprint> gathered) {
        quarantine.onTargetCrashed(gathered);
        target.gate().targetRestarted();
        events.record(
                EventKind.TARGET_LOST,
                target.service().value(),
                "it crashed with " + gathered.size() + " requests in flight");
    }
}
