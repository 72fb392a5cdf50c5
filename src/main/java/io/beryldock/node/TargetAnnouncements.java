package io.beryldock.node;

import io.beryldock.admission.GateSettings;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.ServiceName;
import io.beryldock.call.StartNotice;
import io.beryldock.forwarding.AnnouncedTarget;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.Membership;
import io.beryldock.membership.TargetState;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerService.Subscription;
import io.beryldock.time.TimerThread;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * Applies the announcements of the target in this VM to the target's gate and to the membership.
 *
 * <p>Used on the control thread only, except {@link #current()} and {@link #drained()}, which are thread safe. A target
 * that no longer announces itself is withdrawn from the membership. A drained target, and one whose answers say that it
 * is leaving, stays LEAVING, whatever state it announces. A new start of the target has a gate of its own. Invariant:
 * at most one gate admits requests; a gate that is replaced is drained.
 */
public final class TargetAnnouncements {

    /**
     * Time after which a leaving target that does not identify its starts is taken for a new start if it still
     * announces itself.
     */
    private static final Duration UNIDENTIFIED_LEAVING = Duration.ofSeconds(60);

    private final Membership membership;
    private final GateFactory gates;
    private final GateSettings gateSettings;
    private final boolean boundBySlots;
    private final Duration expiry;
    private final TimerService timers;
    private final EventSink events;
    private volatile Optional<AnnouncedTarget> current = Optional.empty();
    private volatile boolean drained;
    private volatile Optional<Announcement> last = Optional.empty();
    private Optional<StartNotice> lastNotice = Optional.empty();
    private Optional<ExpiredTarget> expired = Optional.empty();
    private Subscription expiryTimer = () -> {};

    TargetAnnouncements(
            Membership membership,
            GateFactory gates,
            GateSettings gateSettings,
            boolean boundBySlots,
            Duration expiry,
            TimerService timers,
            EventSink events) {
        this.membership = membership;
        this.gates = gates;
        this.gateSettings = gateSettings;
        this.boundBySlots = boundBySlots;
        this.expiry = expiry;
        this.timers = timers;
        this.events = events;
    }

    /** A target that no longer announces itself; requests may still wait at its gate. */
    private record ExpiredTarget(AnnouncedTarget target, String start) {

        /** Whether the announcement is of the same start, which an unidentified one never is. */
        boolean isSameStart(ServiceName service, String announced) {
            return !start.isEmpty()
                    && start.equals(announced)
                    && target.service().equals(service);
        }
    }

    /** Creates the gate of a target. */
    @FunctionalInterface
    interface GateFactory {
        /** Creates the gate of the start, which is empty if the target does not identify it. */
        TargetGate create(ServiceName service, GateSettings settings, String start);
    }

    /** The target according to its last announcement, with its gate; empty if no target announces itself. */
    public Optional<AnnouncedTarget> current() {
        return current;
    }

    public boolean drained() {
        return drained;
    }

    /** The state of the target, as operators' tables name it. */
    String stateName() {
        if (drained) {
            return "drained";
        }
        if (isLeaving()) {
            return TargetState.LEAVING.name().toLowerCase(Locale.ROOT);
        }
        return last.map(announcement -> announcement.state().name().toLowerCase(Locale.ROOT))
                .orElse("none");
    }

    /** The number of slots that the target announced; 0 if no target announces itself. */
    int slots() {
        return last.map(Announcement::slots).orElse(0);
    }

    public void announce(Announcement announcement) {
        expiryTimer.cancel();
        expiryTimer = timers.after(expiry, this::expire);
        if (last.filter(announcement::equals).isPresent()) {
            renew(announcement);
            return;
        }
        if (last.filter(earlier -> !earlier.start().equals(announcement.start()))
                .isPresent()) {
            onTargetRestart();
        }
        last = Optional.of(announcement);
        ServiceName service = ServiceName.of(announcement.service());
        TargetGate gate = gateFor(service, announcement);
        current = Optional.of(new AnnouncedTarget(service, announcement.socketAddress(), gate));
        apply(announcement, gate);
        events.record(
                announcement.state() == TargetState.LEAVING ? EventKind.TARGET_LEAVING : EventKind.TARGET_ANNOUNCED,
                announcement.service(),
                announcement.state() + " with " + announcement.slots() + " slots at " + announcement.address());
    }

    /**
     * Renews the announcement in the membership, also if it is unchanged, because the membership withdraws a target
     * whose announcement is not renewed.
     */
    private void renew(Announcement announcement) {
        membership.announce(ServiceName.of(announcement.service()), announcement.slots(), stateOf(announcement));
    }

    private TargetState stateOf(Announcement announcement) {
        return drained || isLeaving() ? TargetState.LEAVING : announcement.state();
    }

    /** Whether the target has said in its answers that it is leaving. */
    private boolean isLeaving() {
        return current.filter(target -> target.gate().isLeaving()).isPresent();
    }

    /**
     * Discards the gate after a restart of the target; the next announcement creates a new one.
     *
     * <p>Queued requests are refused immediately, so that their callers can use another target. A gate that was kept
     * would count the calls lost in the restart as in flight, and admit fewer calls than the target can run.
     */
    public void onTargetRestart() {
        current.ifPresent(target -> target.gate().drain());
        drainExpired();
        forgetTarget();
    }

    private void drainExpired() {
        expired.ifPresent(earlier -> earlier.target().gate().drain());
        expired = Optional.empty();
    }

    /** Keeps what the target has named, since the same start may announce itself again. */
    private void forgetTarget() {
        current.ifPresent(target -> lastNotice = target.gate().load().notice());
        current = Optional.empty();
        last = Optional.empty();
    }

    private TargetGate gateFor(ServiceName service, Announcement announcement) {
        GateSettings settings = boundBySlots ? gateSettings.withAnnouncedSlots(announcement.slots()) : gateSettings;
        Optional<TargetGate> existing = current.or(() -> resumeExpired(service, announcement.start()))
                .filter(target -> target.service().equals(service))
                .map(AnnouncedTarget::gate);
        if (existing.isEmpty()) {
            current.ifPresent(target -> target.gate().drain());
        }
        drainExpired();
        existing.ifPresent(gate -> gate.reconfigure(settings));
        return existing.orElseGet(() -> createGate(service, settings, announcement.start()));
    }

    /** Returns the expired target if it announces itself again: its requests still occupy slots. */
    private Optional<AnnouncedTarget> resumeExpired(ServiceName service, String start) {
        Optional<AnnouncedTarget> resumed =
                expired.filter(earlier -> earlier.isSameStart(service, start)).map(ExpiredTarget::target);
        if (resumed.isPresent()) {
            expired = Optional.empty();
        }
        return resumed;
    }

    private TargetGate createGate(ServiceName service, GateSettings settings, String start) {
        TargetGate gate = gates.create(service, settings, start);
        lastNotice.ifPresent(gate::onPeerNotice);
        TimerThread.onCompletion(timers, gate.leaving(), (done, failure) -> onTargetLeaving(gate, start));
        return gate;
    }

    private void onTargetLeaving(TargetGate gate, String start) {
        if (!isCurrent(gate)) {
            return;
        }
        reapply();
        if (start.isEmpty()) {
            timers.after(UNIDENTIFIED_LEAVING, () -> {
                if (isCurrent(gate)) {
                    onTargetRestart();
                }
            });
        }
    }

    private boolean isCurrent(TargetGate gate) {
        return current.filter(target -> target.gate() == gate).isPresent();
    }

    private void apply(Announcement announcement, TargetGate gate) {
        if (stateOf(announcement) == TargetState.READY) {
            gate.undrain();
        } else {
            gate.drain();
        }
        renew(announcement);
    }

    private void expire() {
        current.ifPresent(target ->
                events.record(EventKind.TARGET_LOST, target.service().value(), "it no longer announces itself"));
        String start = last.map(Announcement::start).orElse("");
        expired = current.map(target -> new ExpiredTarget(target, start));
        forgetTarget();
        membership.withdraw();
    }

    /** Refuses new work for the target, immediately at this node and elsewhere once the membership view has spread. */
    void drain() {
        drained = true;
        events.record(EventKind.DRAIN_STARTED, serviceName(), "no new work");
        reapply();
    }

    void undrain() {
        drained = false;
        events.record(EventKind.DRAIN_ENDED, serviceName(), "new work again");
        reapply();
    }

    private void reapply() {
        last.ifPresent(announcement -> current.ifPresent(target -> apply(announcement, target.gate())));
    }

    private String serviceName() {
        return current.map(target -> target.service().value()).orElse("none");
    }
}
