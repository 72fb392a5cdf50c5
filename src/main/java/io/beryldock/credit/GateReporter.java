package io.beryldock.credit;

import io.beryldock.call.NodeId;
import io.beryldock.call.TargetLoad;
import io.beryldock.time.TimerService;
import io.beryldock.wire.CreditQuestion;
import io.beryldock.wire.CreditReport;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Tells the home of its service what the gate in this VM can serve, while the gate is nearly full and shortly after.
 *
 * <p>Invariant: a gate that is not nearly full has no timer and sends nothing. Thread safe; a load that is not nearly
 * full takes no lock.
 */
public final class GateReporter {

    /**
     * Several reports come while one counts, so that a lost one changes nothing. No multiple of a round, so that
     * reports see the gate at all times between the arrivals of two rounds.
     */
    private static final Duration PERIOD = Duration.ofMillis(70);

    /** Reports go on for so long after the gate was nearly full: demand that credits hold back shows nowhere else. */
    private static final long AFTER_NANOS = Duration.ofSeconds(1).toNanos();

    private static final Duration FIRST = Duration.ofMillis(1);

    /** Longest wait for the home: the next report goes to another one. */
    private static final Duration HOME_LIMIT = Duration.ofMillis(150);

    private final boolean enabled;
    private final TimerService timers;
    private final Supplier<Optional<GateLoad>> gate;
    private final Consumer<GateLoad> send;
    private long reportUntil;
    private boolean reporting;

    GateReporter(boolean enabled, TimerService timers, Supplier<Optional<GateLoad>> gate, Consumer<GateLoad> send) {
        this.enabled = enabled;
        this.timers = timers;
        this.gate = gate;
        this.send = send;
    }

    /** Looks at what the gate tells with a result. */
    public void onLoad(TargetLoad load) {
        if (!enabled || !GateLoad.isNearlyFull(load)) {
            return;
        }
        synchronized (this) {
            noteFull();
            if (!reporting) {
                reporting = true;
                timers.after(FIRST, this::report);
            }
        }
    }

    private void noteFull() {
        reportUntil = timers.ticker().nanos() + AFTER_NANOS;
    }

    private void report() {
        Optional<GateLoad> now = gate.get();
        synchronized (this) {
            now.filter(found -> GateLoad.isNearlyFull(found.load())).ifPresent(found -> noteFull());
            reporting = now.isPresent() && reportUntil - timers.ticker().nanos() > 0;
            if (reporting) {
                timers.after(PERIOD, this::report);
            }
        }
        now.ifPresent(send);
    }

    /** The report as a question to the home. */
    static CreditQuestion encode(GateLoad gate) {
        TargetLoad load = gate.load();
        CreditReport report = CreditReport.newBuilder()
                .setLimit(load.draining() ? 0 : load.limit())
                .setRunning(load.running())
                .setQueued(load.queued())
                .setMeanMicros(TimeUnit.NANOSECONDS.toMicros(load.meanNanos()))
                .build();
        return CreditQuestion.newBuilder()
                .setService(gate.service().value())
                .setReport(report)
                .build();
    }

    /** Sends reports to the home of the service; without one nobody gives out credits, so nobody needs them. */
    static Consumer<GateLoad> sender(CreditMessenger messenger, CreditIssuer issuer) {
        return gate -> {
            Optional<NodeId> home = messenger.home(gate.service());
            // A lost report needs no handling of its own: the messenger passes the silent home over.
            home.ifPresent(node -> messenger.ask(node, encode(gate), HOME_LIMIT, issuer::answerOwn));
        };
    }
}
