package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.RecordingListener;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.StartNotice;
import io.beryldock.call.TargetNotice;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Replays of a target that names a rate limit while demand and free slots stay the same. */
class TargetGateRateLimitTest {

    private static final String START = "i-1";
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration SETTLING = Duration.ofSeconds(3);

    /** Requests that the target may get in a window according to the platform's contract. */
    private static int allowed(double rate) {
        return (int) (1.5 * rate * WINDOW.toSeconds()) + 5;
    }

    /** A target with 167 slots behind its gate, and callers that send to it. Time advances by 5 ms. */
    private static final class Replay {

        private static final int SLOTS = 167;
        private static final long STEP_MILLIS = 5;

        final ManualTimerService timers = ManualTimerService.create();
        final Random random;
        final List<Long> arrivals = new ArrayList<>();
        final Map<Integer, Integer> admittedByRank = new HashMap<>();
        final Map<Reason, Integer> refusals = new HashMap<>();
        private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endsAt));
        private TargetGate gate;
        private int fastestMillis = 20;
        private double named = TargetNotice.UNLIMITED;
        private Optional<StartNotice> told = Optional.empty();
        private long longestWait;
        private int order;
        private int generation;

        Replay(long seed) {
            random = new Random(seed);
            restartNode();
        }

        private record Running(Permit permit, long sentAt, long endsAt, double named) {}

        /** The node next to the target starts again: it knows nothing, and the target runs on. */
        void restartNode() {
            GateSettings settings = GateSettings.ofAnnouncedSlots().withAnnouncedSlots(SLOTS);
            generation++;
            gate = TargetGate.create(
                    settings, timers, random, GateFixture.FAIL_ON_VIOLATION, ServiceName.of("statusboard"), START);
            running.clear();
        }

        long now() {
            return timers.ticker().nanos();
        }

        void run(Duration duration, double requestsPerSecond) {
            long end = now() + duration.toNanos();
            while (now() < end) {
                double expected = requestsPerSecond * STEP_MILLIS / 1000;
                while (random.nextDouble() < expected / (1 + expected)) {
                    submit(random.nextInt(7));
                }
                step(Duration.ofMillis(STEP_MILLIS));
            }
        }

        /** Nothing runs in the node for the duration, while the target goes on. */
        void freeze(Duration duration) {
            step(duration);
        }

        private void step(Duration duration) {
            timers.advance(duration);
            while (!running.isEmpty() && running.peek().endsAt() <= now()) {
                Running ended = running.poll();
                gate.onNotice(new TargetNotice(OptionalDouble.of(ended.named()), false), ended.sentAt());
                told = gate.load().notice();
                ended.permit().release(Completion.SUCCEEDED);
            }
        }

        private void submit(int rank) {
            told.ifPresent(gate::onPeerNotice);
            long submittedAt = now();
            int submittedTo = generation;
            GateRequest request = new GateRequest(
                    GateFixture.requestId(order++),
                    rank,
                    CallerHash.of("caller-" + order, 0),
                    0,
                    Duration.ofSeconds(2).toNanos());
            gate.submit(request, new GateListener() {
                @Override
                public void admitted(Permit permit) {
                    if (submittedTo != generation) {
                        return;
                    }
                    longestWait = Math.max(longestWait, now() - submittedAt);
                    arrivals.add(now());
                    admittedByRank.merge(rank, 1, Integer::sum);
                    long took = Duration.ofMillis(fastestMillis + random.nextInt(600))
                            .toNanos();
                    running.add(new Running(permit, now(), now() + took, named));
                }

                @Override
                public void refused(Reason reason, long retryAfterMillis) {
                    refusals.merge(reason, 1, Integer::sum);
                }
            });
        }

        /** Most arrivals in a window that ends in the given time. */
        long mostInWindow(long endsFrom, long endsUntil) {
            long most = 0;
            for (int last = 0, first = 0; last < arrivals.size(); last++) {
                long end = arrivals.get(last);
                while (end - arrivals.get(first) > WINDOW.toNanos()) {
                    first++;
                }
                if (end >= endsFrom && end <= endsUntil) {
                    most = Math.max(most, last - first + 1);
                }
            }
            return most;
        }
    }

    /** Guards against a target in need that gets all requests that its slots allow. */
    @Test
    void loadOfTheIncidentStaysWithinTheNamedRate() {
        for (long seed = 0; seed < 20; seed++) {
            Replay replay = new Replay(seed);
            replay.run(Duration.ofSeconds(8), 75);
            double rate = 29.7;
            replay.named = rate;
            long named = replay.now();
            replay.run(Duration.ofSeconds(20), 75);
            assertThat(replay.mostInWindow(named + SETTLING.toNanos(), replay.now()))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(allowed(rate));
            long inUse = replay.arrivals.stream()
                    .filter(at -> at > named + SETTLING.toNanos())
                    .count();
            assertThat(inUse).as("seed %d: the rate is used", seed).isGreaterThan((long) (0.9 * rate * 17));
            assertThat(replay.refusals).containsKey(Reason.RATE_LIMITED);
            assertThat(replay.longestWait)
                    .as("seed %d: requests that do not fit are refused early", seed)
                    .isLessThanOrEqualTo(Duration.ofMillis(150).toNanos());
        }
    }

    /** Guards against requests of low rank that take the rate from more important ones. */
    @Test
    void importantRequestsUseTheRateFirst() {
        Replay replay = new Replay(3);
        replay.named = 30;
        replay.run(Duration.ofSeconds(30), 90);
        int important = replay.admittedByRank.get(0) + replay.admittedByRank.get(1);
        int idle = replay.admittedByRank.get(5) + replay.admittedByRank.get(6);
        assertThat(important).isGreaterThan(3 * idle);
    }

    /** Guards against a node that starts next to a limited target and sends all that its slots allow once more. */
    @Test
    void nodeThatRestartsIsToldTheLimitByItsCallers() {
        for (long seed = 0; seed < 20; seed++) {
            Replay replay = new Replay(seed);
            double rate = 5;
            replay.fastestMillis = 400;
            replay.named = rate;
            replay.run(Duration.ofSeconds(10), 300);
            long settled = replay.now();
            for (int restart = 0; restart < 3; restart++) {
                replay.restartNode();
                replay.run(Duration.ofSeconds(2), 300);
            }
            assertThat(replay.mostInWindow(settled, replay.now()))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(allowed(rate));
        }
    }

    /** Guards against a queue or a full bucket that is let go at once after a freeze of the node. */
    @Test
    void freezeOfTheNodeReleasesNoBurst() {
        for (long seed = 0; seed < 50; seed++) {
            Replay replay = new Replay(seed);
            double rate = 2 + replay.random.nextInt(60);
            replay.named = rate;
            replay.run(Duration.ofSeconds(6), 200);
            long settled = replay.now();
            for (int i = 0; i < 6; i++) {
                replay.freeze(Duration.ofMillis(replay.random.nextInt(3_000)));
                replay.run(Duration.ofMillis(replay.random.nextInt(2_000)), 200);
            }
            assertThat(replay.mostInWindow(settled, replay.now()))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(allowed(rate));
        }
    }

    /** Guards against a limit that outlives its cause, with restarts, freezes and late answers at random. */
    @Test
    void limitEndsSoonAfterTheTargetNamesNoneAnyMore() {
        for (long seed = 0; seed < 50; seed++) {
            Replay replay = new Replay(seed);
            for (int round = 0; round < 4; round++) {
                replay.named = 1 + replay.random.nextInt(40);
                replay.run(Duration.ofSeconds(4), 100);
                if (replay.random.nextBoolean()) {
                    replay.freeze(Duration.ofSeconds(1));
                } else {
                    replay.restartNode();
                }
                replay.named = TargetNotice.UNLIMITED;
                replay.run(Duration.ofSeconds(4), 100);
                assertThat(replay.gate.snapshot().isRateLimited())
                        .as("seed %d, round %d", seed, round)
                        .isFalse();
            }
        }
    }

    /** Guards against a limit of an earlier start that holds for the next one on the same node. */
    @Test
    void noticeOfAnotherStartIsIgnored() {
        Replay replay = new Replay(1);
        replay.gate.onPeerNotice(new StartNotice("i-0", 5, true));
        assertThat(replay.gate.snapshot().isRateLimited()).isFalse();
        assertThat(replay.gate.snapshot().draining()).isFalse();
    }

    /** Guards against a node that starts next to a leaving target and sends to it until the first answer. */
    @Test
    void leavingIsToldByCallersOfTheSameStart() {
        Replay replay = new Replay(1);
        replay.gate.onPeerNotice(new StartNotice(START, TargetNotice.UNLIMITED, true));
        replay.run(Duration.ofSeconds(1), 50);
        assertThat(replay.arrivals).isEmpty();
        assertThat(replay.refusals).containsOnlyKeys(Reason.DRAINING);
        assertThat(replay.gate.load().notice()).contains(new StartNotice(START, TargetNotice.UNLIMITED, true));
    }

    /** Guards against queued requests that reach a target after it has said that it leaves. */
    @Test
    void leavingRefusesQueuedRequestsAndHoldsForGood() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        RecordingListener running = fixture.submit(3);
        RecordingListener queued = fixture.submit(3);
        long sentAt = fixture.timers.ticker().nanos();
        fixture.gate.onNotice(new TargetNotice(OptionalDouble.of(TargetNotice.UNLIMITED), true), sentAt);
        assertThat(queued.reason).isEqualTo(Reason.DRAINING);
        running.succeed();
        fixture.gate.onNotice(TargetNotice.none(), sentAt + 1);
        fixture.gate.undrain();
        assertThat(fixture.submit(0).reason).isEqualTo(Reason.DRAINING);
        assertThat(fixture.gate.leaving()).isCompleted();
    }

    /** Guards against callers that take a target without rate for idle because its slots are free. */
    @Test
    void reportedLoadShowsWhatTheRateSustains() {
        GateFixture fixture = new GateFixture(GateFixture.warm(100));
        for (int i = 0; i < 20; i++) {
            RecordingListener request = fixture.submit(3);
            fixture.advance(100);
            request.succeed();
        }
        assertThat(fixture.gate.load().freeSlots()).isEqualTo(100);
        fixture.gate.onNotice(
                new TargetNotice(OptionalDouble.of(30), false),
                fixture.timers.ticker().nanos());
        assertThat(fixture.gate.load().limit()).isEqualTo(3);
        fixture.submit(3);
        assertThat(fixture.gate.load().freeSlots()).isZero();
    }

    /** Guards against work that is started at entries for targets that have all used up their rate. */
    @Test
    void levelFallsToTheNamedRate() {
        Replay replay = new Replay(5);
        replay.named = 25;
        replay.run(Duration.ofSeconds(10), 100);
        assertThat(replay.gate.level()).isLessThan(5 * ServiceLevel.STEPS);
        replay.named = TargetNotice.UNLIMITED;
        replay.run(Duration.ofSeconds(5), 100);
        assertThat(replay.gate.level()).isEqualTo(ServiceLevel.OPEN);
    }
}
