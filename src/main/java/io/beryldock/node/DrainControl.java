package io.beryldock.node;

import io.beryldock.command.LocalTarget;
import io.beryldock.forwarding.AnnouncedTarget;
import java.util.Optional;

/**
 * Drains and undrains the target in this VM on an operator's command. Thread safe: changes are made on the control
 * thread.
 */
final class DrainControl implements LocalTarget {

    private final TargetAnnouncements announcements;
    private final ControlLoop control;

    DrainControl(TargetAnnouncements announcements, ControlLoop control) {
        this.announcements = announcements;
        this.control = control;
    }

    @Override
    public String drain() {
        control.execute(announcements::drain);
        Optional<AnnouncedTarget> target = announcements.current();
        return target.map(found -> found.service() + " takes no new work; "
                        + found.gate().snapshot().inFlight() + " requests are in flight")
                .orElse("no target announces itself here; none will take work until undrained");
    }

    @Override
    public String undrain() {
        control.execute(announcements::undrain);
        return announcements
                .current()
                .map(found -> found.service() + " takes new work again")
                .orElse("no target announces itself here yet");
    }
}
