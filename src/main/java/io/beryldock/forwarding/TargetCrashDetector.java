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

    /** An exchange with the target broke off while the request was in flight. */
    void onLost(AnnouncedTarget target, Fingerprint fingerprint) {
        boolean first;
        synchronized (this) {
            first = lost.isEmpty();
            lost.add(fingerprint);
        }
        if (first) {
            timers.after(GATHERING, () -> probe.listens(target.address()).thenAccept(up -> decide(target, up)));
        }
    }

    private void decide(AnnouncedTarget target, boolean up) {
        List<Fingerprint> gathered;
        synchronized (this) {
            gathered = List.copyOf(lost);
            lost.clear();
        }
        if (up) {
            gathered.forEach(quarantine::onAbandoned);
            return;
        }
        quarantine.onTargetCrashed(gathered);
        target.gate().targetRestarted();
        events.record(
                EventKind.TARGET_LOST,
                target.service().value(),
                "it crashed with " + gathered.size() + " requests in flight");
    }
}
