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
 * Reports what the gate in this VM can serve to the home node of its service, while the gate is nearly full and for a
 * short time after.
 *
 * <p>Invariant: outside that time the reporter has no timer and sends nothing. Thread safe; a load that is not nearly
 * full takes no lock.
 */
public final class GateReporter {

    /**
     * Several reports arrive while one is valid, so that a lost report has no effect. Not a multiple of the round
     * length, so that reports sample the gate at all points between the arrivals of two rounds.
     */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(70);

    /**
     * Time for which reports continue after the gate was last nearly full: nothing else shows the demand that credits
     * hold back.
     */
    private static final long LINGER_NANOS = Duration.ofSeconds(1).toNanos();

    private static final Duration FIRST_DELAY = Duration.ofMillis(1);

    /** Timeout for the home node; the next report goes to another candidate. */
    private static final Duration HOME_TIMEOUT = Duration.ofMillis(150);

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

    /** Starts reporting when the load that came with a call result shows that the gate is nearly full. */
    public void onLoad(TargetLoad load) {
        if (!enabled || !GateLoad.isNearlyFull(load)) {
            return;
        }
        synchronized (this) {
            extendReporting();
            if (!reporting) {
                reporting = true;
                timers.after(FIRST_DELAY, this::report);
            }
        }
    }

    private void extendReporting() {
        reportUntil = timers.ticker().nanos() + LINGER_NANOS;
    }

    private void report() {
        Optional<GateLoad> current = gate.get();
        synchronized (this) {
            current.filter(found -> GateLoad.isNearlyFull(found.load())).ifPresent(found -> extendReporting());
            reporting = current.isPresent() && reportUntil - timers.ticker().nanos() > 0;
            if (reporting) {
                timers.after(REPORT_PERIOD, this::report);
            }
        }
        current.ifPresent(send);
    }

    /** Encodes the report as a question to the home node. */
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

    /**
     * Creates a sender that sends reports to the home node of the service. Without a home node no credits are granted,
     * and reports are not needed.
     */
    static Consumer<GateLoad> sender(CreditMessenger messenger, CreditIssuer issuer) {
        return gate -> {
            Optional<NodeId> home = messenger.home(gate.service());
            // A lost report needs no handling of its own: the messenger skips the silent home node.
            home.ifPresent(node -> messenger.ask(node, encode(gate), HOME_TIMEOUT, issuer::answerOwn));
        };
    }
}
