package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.RecordingListener;
import io.beryldock.call.Incarnation;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests random schedules of submissions, releases, cancellations, drains and slot changes on simulated time. */
class TargetGateScheduleTest {

    private static final int THREADS = 4;
    private static final int REQUESTS_EACH = 5_000;
    private static final List<Completion> COMPLETIONS = List.of(Completion.values());

    @Property(tries = 300)
    void anyScheduleDecidesEachRequestOnceAndKeepsTheSlotBound(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int slots) {
        Run run = new Run(seed, slots);
        for (int i = 0; i < 400; i++) {
            run.step();
            run.check();
        }
        run.finish();
    }

    /** A random schedule. */
    private static final class Run {
        private final Random random;
        private final GateFixture fixture;
        private final List<RecordingListener> all = new ArrayList<>();
        private final List<RecordingListener> running = new ArrayList<>();
        private int slots;
        private boolean draining;

        Run(long seed, int slots) {
            this.random = new Random(seed);
            this.slots = slots;
            this.fixture = new GateFixture(GateFixture.warm(slots));
        }

        void step() {
            int draw = random.nextInt(100);
            if (draw < 50) {
                submit();
            } else if (draw < 75 && !running.isEmpty()) {
                Completion completion = COMPLETIONS.get(random.nextInt(COMPLETIONS.size()));
                running.remove(random.nextInt(running.size())).permit.release(completion);
            } else if (draw < 80 && !all.isEmpty()) {
                all.get(random.nextInt(all.size())).handle.cancel();
            } else if (draw < 97) {
                fixture.advance(random.nextInt(20));
            } else if (draw < 99) {
                draining = !draining;
                setDraining();
            } else {
                slots = 1 + random.nextInt(20);
                fixture.gate.reconfigure(GateFixture.warm(slots));
            }
            collectAdmitted();
        }

        private void submit() {
            int rank = random.nextInt(PriorityClass.RANKS);
            boolean full = fixture.gate.snapshot().inFlight() >= slots;
            RecordingListener listener = fixture.submit(rank, random.nextInt(50), 1 + random.nextInt(300));
            assertThat(listener.admitted() && (full || draining)).isFalse();
            all.add(listener);
        }

        private void setDraining() {
            if (draining) {
                fixture.gate.drain();
            } else {
                fixture.gate.undrain();
            }
        }

        private void collectAdmitted() {
            all.stream()
                    .filter(listener -> listener.admitted() && !listener.collected)
                    .forEach(listener -> {
                        listener.collected = true;
                        running.add(listener);
                        assertNoMoreImportantRequestIsWaiting(listener);
                    });
        }

        /** Checks that no request that is more important than the admitted one still waits at the end of the step. */
        private void assertNoMoreImportantRequestIsWaiting(RecordingListener admitted) {
            boolean passedOver =
                    all.stream().anyMatch(listener -> listener.isWaiting() && listener.rank < admitted.rank);
            assertThat(passedOver).isFalse();
        }

        void check() {
            assertThat(all).allMatch(listener -> listener.calls <= 1);
            assertThat(all).noneMatch(listener -> listener.admitted() && listener.reason != null);
            GateSnapshot snapshot = fixture.gate.snapshot();
            assertThat(snapshot.inFlight()).isEqualTo(running.size());
            assertThat(all.stream().filter(RecordingListener::isWaiting).count())
                    .isEqualTo(snapshot.queued());
            assertThat(draining && snapshot.queued() > 0).isFalse();
        }

        void finish() {
            fixture.gate.drain();
            running.forEach(RecordingListener::succeed);
            assertThat(all).allMatch(listener -> listener.calls == 1);
            assertThat(fixture.gate.idle()).isDone();
        }
    }

    // The target's process is gone and each connection is refused immediately, so a request ends while its admission is
    // being notified. Many threads submit at the same time: the slot bound must hold, and no thread may overflow its
    // stack.
    @Example
    void workThatEndsImmediatelyKeepsTheSlotBoundWithManyThreads() throws Exception {
        GateFixture fixture = new GateFixture(GateFixture.warm(3));
        AtomicInteger running = new AtomicInteger();
        AtomicInteger maxRunning = new AtomicInteger();
        AtomicInteger decisions = new AtomicInteger();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        List<Future<?>> submitters = new ArrayList<>();
        for (int t = 0; t < THREADS; t++) {
            submitters.add(threads.submit(() -> {
                for (int i = 0; i < REQUESTS_EACH; i++) {
                    fixture.gate.submit(request(), new ImmediateWorker(running, maxRunning, decisions));
                }
            }));
        }
        for (Future<?> each : submitters) {
            each.get(1, TimeUnit.MINUTES);
        }
        threads.shutdown();
        fixture.gate.drain();
        assertThat(decisions.get()).isEqualTo(THREADS * REQUESTS_EACH);
        assertThat(maxRunning.get()).isBetween(1, 3);
        assertThat(fixture.gate.idle()).isDone();
    }

    private static GateRequest request() {
        int rank = ThreadLocalRandom.current().nextInt(PriorityClass.RANKS);
        Incarnation incarnation = new Incarnation(1, 2);
        return new GateRequest(
                new RequestId(incarnation, 3),
                rank,
                rank,
                0,
                Duration.ofSeconds(1).toNanos());
    }

    /**
     * Completes the request on the notifying thread and records the highest number of concurrently running requests.
     */
    private record ImmediateWorker(AtomicInteger running, AtomicInteger maxRunning, AtomicInteger decisions)
            implements GateListener {
        @Override
        public void admitted(Permit permit) {
            decisions.incrementAndGet();
            maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
            running.decrementAndGet();
            permit.release(Completion.SUCCEEDED);
        }

        @Override
        public void refused(Reason reason, long retryAfterMillis) {
            decisions.incrementAndGet();
        }
    }
}
