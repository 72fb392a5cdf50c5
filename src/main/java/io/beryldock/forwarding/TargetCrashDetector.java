package io.beryldock.forwarding;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.quarantine.Fingerprint;
import io.beryldock.quarantine.LostRun;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.QuarantineDelta;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Distinguishes a crash of the target from the loss of a single connection.
 *
 * <p>Guards against a request that crashes each target that runs it: requests in flight at a crash must be recorded.
 * Lost exchanges are judged by the {@link TargetProcess} with which they began, so that a target that has restarted in
 * the meantime is not mistaken for one that never ended. Invariant: each loss is decided once, within a bounded time
 * whatever the target does. Thread safe.
 */
public final class TargetCrashDetector {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    /** Time for which the lost exchanges of one crash are collected before the process is checked. */
    private static final Duration COLLECTION_TIME = Duration.ofMillis(20);

    /** Longest wait for the process check: a target with a full accept queue never answers a connection attempt. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(500);

    /** Longest wait until the other nodes have been notified of a crash. */
    private static final Duration NOTIFICATION_TIMEOUT = Duration.ofMillis(500);

    private final TargetProcesses processes;
    private final Quarantine quarantine;
    private final CrashNotifier notifier;
    private final TimerService timers;
    private final EventSink events;

    @GuardedBy("this")
    private final Map<TargetProcess, LostExchanges> undecided = new HashMap<>();

    private volatile boolean idle = true;

    private TargetCrashDetector(
            TargetProcesses processes,
            Quarantine quarantine,
            CrashNotifier notifier,
            TimerService timers,
            EventSink events) {
        this.processes = processes;
        this.quarantine = quarantine;
        this.notifier = notifier;
        this.timers = timers;
        this.events = events;
    }

    public static TargetCrashDetector create(
            TargetProcesses processes,
            Quarantine quarantine,
            CrashNotifier notifier,
            TimerService timers,
            EventSink events) {
        return new TargetCrashDetector(processes, quarantine, notifier, timers, events);
    }

    /** Returns the process by which an exchange that begins now is judged if it is lost. */
    TargetProcess processOf(InetSocketAddress target) {
        return processes.current(target);
    }

    /**
     * Records that an exchange with the target was lost while the request was in flight.
     *
     * @param process as {@link #processOf} returned it before the exchange began
     * @param run the request, and whether this run of it began as a suspect's
     * @return completes when it is decided whether the target crashed, {@link TargetProcessState#ENDED}, and the nodes
     *     of the service have been notified, so that a caller who resends the request at once meets the verdict
     */
    CompletableFuture<TargetProcessState> onLost(AnnouncedTarget target, TargetProcess process, LostRun run) {
        LostExchanges losses;
        boolean first;
        synchronized (this) {
            first = !undecided.containsKey(process);
            losses = undecided.computeIfAbsent(process, key -> new LostExchanges(target));
            losses.runs.add(run);
            idle = false;
        }
        if (first) {
            long lostAt = timers.ticker().nanos();
            timers.after(
                    COLLECTION_TIME.plus(CHECK_TIMEOUT), () -> decide(process, losses, TargetProcessState.UNKNOWN));
            timers.after(COLLECTION_TIME, () -> checkProcess(process, losses, lostAt));
        }
        return losses.decided;
    }

    /**
     * Returns the pending decision on a lost run of the same request; empty when there is none.
     *
     * <p>A run that began before the decision would not be marked as a suspect's, so a crash in that run would not
     * convict the request.
     */
    Optional<CompletableFuture<TargetProcessState>> undecided(Fingerprint fingerprint) {
        if (idle) {
            return Optional.empty();
        }
        synchronized (this) {
            return undecided.values().stream()
                    .filter(losses -> losses.isOf(fingerprint))
                    .map(losses -> losses.decided)
                    .findFirst();
        }
    }

    private void checkProcess(TargetProcess process, LostExchanges losses, long lostAtNanos) {
        process.checkState(lostAtNanos).whenComplete((state, failure) -> {
            if (failure != null) {
                log.atSevere().withCause(failure).log("check of the target process after lost exchanges failed");
            }
            decide(process, losses, failure == null ? state : TargetProcessState.UNKNOWN);
        });
    }

    /** Makes the verdict before the loss counts as decided, so that no run of the request begins between the two. */
    private void decide(TargetProcess process, LostExchanges losses, TargetProcessState state) {
        Optional<QuarantineDelta> suspects;
        synchronized (this) {
            if (undecided.get(process) != losses) {
                return;
            }
            suspects = updateQuarantine(losses.runs, state);
            undecided.remove(process);
            idle = undecided.isEmpty();
        }
        log.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "lost %d exchanges with the target of service %s; state of its process: %s",
                losses.runs.size(), losses.target.service(), state);
        if (state == TargetProcessState.ENDED) {
            recordCrash(losses);
        }
        suspects.ifPresentOrElse(delta -> notifyNodes(losses, state, delta), () -> losses.decided.complete(state));
    }

    private Optional<QuarantineDelta> updateQuarantine(List<LostRun> runs, TargetProcessState state) {
        return switch (state) {
            case GOES_ON -> {
                runs.forEach(quarantine::onAbandoned);
                yield Optional.empty();
            }
            case UNKNOWN -> Optional.of(quarantine.onTargetMaybeEnded(runs));
            case ENDED -> Optional.of(quarantine.onTargetEnded(runs));
        };
    }

    private void notifyNodes(LostExchanges losses, TargetProcessState state, QuarantineDelta suspects) {
        timers.after(NOTIFICATION_TIMEOUT, () -> losses.decided.complete(state));
        notifier.notifyNodes(losses.target.service(), suspects)
                .whenComplete((notified, failure) -> losses.decided.complete(state));
    }

    private void recordCrash(LostExchanges losses) {
        losses.target.gate().targetRestarted();
        events.record(
                EventKind.TARGET_LOST,
                losses.target.service().value(),
                "it crashed with " + losses.runs.size() + " requests in flight");
    }

    /**
     * Lost exchanges of one target process that wait for the decision.
     *
     * <p>The runs are guarded by the detector's lock and don't change once the loss is decided.
     */
    private static final class LostExchanges {

        private final AnnouncedTarget target;
        private final List<LostRun> runs = new ArrayList<>();
        private final CompletableFuture<TargetProcessState> decided = new CompletableFuture<>();

        LostExchanges(AnnouncedTarget target) {
            this.target = target;
        }

        boolean isOf(Fingerprint request) {
            return runs.stream().anyMatch(run -> run.request().equals(request));
        }
    }
}
