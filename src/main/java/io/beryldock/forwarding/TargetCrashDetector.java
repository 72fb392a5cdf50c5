package io.beryldock.forwarding;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.quarantine.Fingerprint;
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
     * @return completes when it is decided whether the target crashed, {@link LifeSign#ENDED}, and the nodes of the
     *     service know, so that a caller who sends the request again at once meets the verdict
     */
    CompletableFuture<LifeSign> onLost(AnnouncedTarget target, TargetLife life, Fingerprint fingerprint) {
        Losses losses;
        boolean first;
        synchronized (this) {
            first = !undecided.containsKey(life);
            losses = undecided.computeIfAbsent(life, begun -> new Losses(target));
            losses.requests.add(fingerprint);
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
                    .filter(losses -> losses.requests.contains(fingerprint))
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

    private void decide(TargetLife life, Losses losses, LifeSign sign) {
        List<Fingerprint> lost;
        synchronized (this) {
            if (!undecided.remove(life, losses)) {
                return;
            }
            lost = List.copyOf(losses.requests);
            idle = undecided.isEmpty();
        }
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "%d exchanges with the target of %s were lost, its life: %s",
                lost.size(), losses.target.service(), sign);
        switch (sign) {
            case GOES_ON -> {
                lost.forEach(quarantine::onAbandoned);
                losses.decided.complete(sign);
            }
            case UNKNOWN -> tell(losses, sign, quarantine.onTargetDoubtful(lost));
            case ENDED -> {
                noteCrash(losses.target, lost);
                tell(losses, sign, quarantine.onTargetCrashed(lost));
            }
        }
    }

    private void tell(Losses losses, LifeSign sign, QuarantineDelta suspects) {
        timers.after(LONGEST_NEWS, () -> losses.decided.complete(sign));
        news.tell(losses.target.service(), suspects).whenComplete((told, failure) -> losses.decided.complete(sign));
    }

    private void noteCrash(AnnouncedTarget target, List<Fingerprint> inFlight) {
        target.gate().targetRestarted();
        events.record(
                EventKind.TARGET_LOST,
                target.service().value(),
                "it crashed with " + inFlight.size() + " requests in flight");
    }

    /** Exchanges of one life that were lost and wait for the decision; the list is guarded by the detector. */
    private static final class Losses {

        private final AnnouncedTarget target;
        private final List<Fingerprint> requests = new ArrayList<>();
        private final CompletableFuture<LifeSign> decided = new CompletableFuture<>();

        Losses(AnnouncedTarget target) {
            this.target = target;
        }
    }
}
