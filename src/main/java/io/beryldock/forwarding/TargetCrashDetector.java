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
 * Tells a crash of the target from the loss of a single connection.
 *
 * <p>Guards against a request that crashes each target that runs it: what was in flight at a crash must be remembered.
 * Lost exchanges are judged by the {@link TargetLife} in which they began, so that a target that was started again
 * meanwhile is not taken for one that never ended. Invariant: each loss is decided once, within a bounded time whatever
 * the target does. Thread safe.
 */
public final class TargetCrashDetector {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 1;

    /** Time in which the exchanges of one crash are gathered before the life is looked at. */
    private static final Duration GATHERING = Duration.ofMillis(20);

    /** Longest wait for a sign of life: a target's full queue of connections neither accepts nor refuses one. */
    private static final Duration LONGEST_LOOK = Duration.ofMillis(500);

    /** Longest wait until the other nodes know of a crash. */
    private static final Duration LONGEST_NEWS = Duration.ofMillis(500);

    private final TargetLives lives;
    private final Quarantine quarantine;
    private final CrashNews news;
    private final TimerService timers;
    private final EventSink events;

    @GuardedBy("this")
    private final Map<TargetLife, Losses> undecided = new HashMap<>();

    private volatile boolean idle = true;

    private TargetCrashDetector(
            TargetLives lives, Quarantine quarantine, CrashNews news, TimerService timers, EventSink events) {
        this.lives = lives;
        this.quarantine = quarantine;
        this.news = news;
        this.timers = timers;
        this.events = events;
    }

    public static TargetCrashDetector create(
            TargetLives lives, Quarantine quarantine, CrashNews news, TimerService timers, EventSink events) {
        return new TargetCrashDetector(lives, quarantine, news, timers, events);
    }

    /** The life by which an exchange that begins now is judged if it is lost. */
    TargetLife lifeOf(InetSocketAddress target) {
        return lives.current(target);
    }

    /**
     * An exchange with the target broke off while the request was in flight.
     *
     * @param life as {@link #lifeOf} gave it before the exchange began
     * @param run the request, and whether this run of it began as a suspect's
     * @return completes when it is decided whether the target crashed, {@link LifeSign#ENDED}, and the nodes of the
     *     service know, so that a caller who sends the request again at once meets the verdict
     */
    CompletableFuture<LifeSign> onLost(AnnouncedTarget target, TargetLife life, LostRun run) {
        Losses losses;
        boolean first;
        synchronized (this) {
            first = !undecided.containsKey(life);
            losses = undecided.computeIfAbsent(life, begun -> new Losses(target));
            losses.runs.add(run);
            idle = false;
        }
        if (first) {
            long lostAt = timers.ticker().nanos();
            timers.after(GATHERING.plus(LONGEST_LOOK), () -> decide(life, losses, LifeSign.UNKNOWN));
            timers.after(GATHERING, () -> look(life, losses, lostAt));
        }
        return losses.decided;
    }

    /**
     * The decision over a loss of the same request, while it is not made.
     *
     * <p>A run that began meanwhile would not be known for a suspect's, so that its crash would not convict it.
     */
    Optional<CompletableFuture<LifeSign>> undecided(Fingerprint fingerprint) {
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

    private void look(TargetLife life, Losses losses, long lostAtNanos) {
        life.look(lostAtNanos).whenComplete((sign, failure) -> {
            if (failure != null) {
                log.atSevere().withCause(failure).log("the target could not be looked at after lost exchanges");
            }
            decide(life, losses, failure == null ? sign : LifeSign.UNKNOWN);
        });
    }

    /** The verdict is made before the loss counts as decided, so that no run of the request begins between the two. */
    private void decide(TargetLife life, Losses losses, LifeSign sign) {
        Optional<QuarantineDelta> suspects;
        synchronized (this) {
            if (undecided.get(life) != losses) {
                return;
            }
            suspects = judge(losses.runs, sign);
            undecided.remove(life);
            idle = undecided.isEmpty();
        }
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "%d exchanges with the target of %s were lost, its life: %s",
                losses.runs.size(), losses.target.service(), sign);
        if (sign == LifeSign.ENDED) {
            noteCrash(losses);
        }
        suspects.ifPresentOrElse(told -> tell(losses, sign, told), () -> losses.decided.complete(sign));
    }

    private Optional<QuarantineDelta> judge(List<LostRun> runs, LifeSign sign) {
        return switch (sign) {
            case GOES_ON -> {
                runs.forEach(quarantine::onAbandoned);
                yield Optional.empty();
            }
            case UNKNOWN -> Optional.of(quarantine.onTargetDoubtful(runs));
            case ENDED -> Optional.of(quarantine.onTargetEnded(runs));
        };
    }

    private void tell(Losses losses, LifeSign sign, QuarantineDelta suspects) {
        timers.after(LONGEST_NEWS, () -> losses.decided.complete(sign));
        news.tell(losses.target.service(), suspects).whenComplete((told, failure) -> losses.decided.complete(sign));
    }

    private void noteCrash(Losses losses) {
        losses.target.gate().targetRestarted();
        events.record(
                EventKind.TARGET_LOST,
                losses.target.service().value(),
                "it crashed with " + losses.runs.size() + " requests in flight");
    }

    /**
     * Exchanges of one life that were lost and wait for the decision.
     *
     * <p>The runs are guarded by the detector and don't change once the loss is decided.
     */
    private static final class Losses {

        private final AnnouncedTarget target;
        private final List<LostRun> runs = new ArrayList<>();
        private final CompletableFuture<LifeSign> decided = new CompletableFuture<>();

        Losses(AnnouncedTarget target) {
            this.target = target;
        }

        boolean isOf(Fingerprint request) {
            return runs.stream().anyMatch(run -> run.request().equals(request));
        }
    }
}
