package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.Heard;
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

/** Random schedules of submissions, releases, cancellations, drains and changed slots on injected time. */
class TargetGateScheduleTest {

    private static final int THREADS = 4;
    private static final int REQUESTS_EACH = 5_000;
    private static final List<Completion> COMPLETIONS = List.of(Completion.values());

    @Property(tries = 300)
    void whateverHappensEachRequestIsDecidedOnceAndSlotsAreKept(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int slots) {
        Run run = new Run(seed, slots);
        for (int i = 0; i < 400; i++) {
            run.step();
            run.check();
        }
        run.finish();
    }

    /** One schedule. */
    private static final class Run {
        private final Random random;
        private final GateFixture fixture;
        private final List<Heard> all = new ArrayList<>();
        private final List<Heard> running = new ArrayList<>();
        private int slots;
        private boolean draining;

        Run(long seed, int slots) {
            this.random = new Random(seed);
            this.slots = slots;
            this.fixture = new GateFixture(GateFixture.warm(slots));
        }

        void step() {
            int dice = random.nextInt(100);
            if (dice < 50) {
                submit();
            } else if (dice < 75 && !running.isEmpty()) {
                Completion completion = COMPLETIONS.get(random.nextInt(COMPLETIONS.size()));
                running.remove(random.nextInt(running.size())).permit.release(completion);
            } else if (dice < 80 && !all.isEmpty()) {
                all.get(random.nextInt(all.size())).handle.cancel();
            } else if (dice < 97) {
                fixture.pass(random.nextInt(20));
            } else if (dice < 99) {
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
            Heard heard = fixture.submit(rank, random.nextInt(50), 1 + random.nextInt(300));
            assertThat(heard.admitted() && (full || draining)).isFalse();
            all.add(heard);
        }

        private void setDraining() {
            if (draining) {
                fixture.gate.drain();
            } else {
                fixture.gate.undrain();
            }
        }

        private void collectAdmitted() {
            all.stream().filter(heard -> heard.admitted() && !heard.noted).forEach(heard -> {
                heard.noted = true;
                running.add(heard);
                assertNoneMoreImportantWaits(heard);
            });
        }

        /** With one admission a step at most one more important request could have been passed over. */
        private void assertNoneMoreImportantWaits(Heard admitted) {
            boolean passedOver = all.stream().anyMatch(heard -> heard.waits() && heard.rank < admitted.rank);
            assertThat(passedOver).isFalse();
        }

        void check() {
            assertThat(all).allMatch(heard -> heard.calls <= 1);
            assertThat(all).noneMatch(heard -> heard.admitted() && heard.reason != null);
            GateSnapshot snapshot = fixture.gate.snapshot();
            assertThat(snapshot.inFlight()).isEqualTo(running.size());
            assertThat(all.stream().filter(Heard::waits).count()).isEqualTo(snapshot.queued());
            assertThat(draining && snapshot.queued() > 0).isFalse();
        }

        void finish() {
            fixture.gate.drain();
            running.forEach(Heard::succeed);
            assertThat(all).allMatch(heard -> heard.calls == 1);
            assertThat(fixture.gate.idle()).isDone();
        }
    }

    // The target's process is gone and each connection is refused at once, so a request ends while its admission is
    // being
    // told. Many threads ask meanwhile: the slots must hold, and no thread may run out of stack.
    @Example
    void workThatEndsAtOnceKeepsTheSlotsWithManyThreads() throws Exception {
        GateFixture fixture = new GateFixture(GateFixture.warm(3));
        AtomicInteger inside = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        AtomicInteger decisions = new AtomicInteger();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        List<Future<?>> asking = new ArrayList<>();
        for (int t = 0; t < THREADS; t++) {
            asking.add(threads.submit(() -> {
                for (int i = 0; i < REQUESTS_EACH; i++) {
                    fixture.gate.submit(request(), new Worker(inside, most, decisions));
                }
            }));
        }
        for (Future<?> each : asking) {
            each.get(1, TimeUnit.MINUTES);
        }
        threads.shutdown();
        fixture.gate.drain();
        assertThat(decisions.get()).isEqualTo(THREADS * REQUESTS_EACH);
        assertThat(most.get()).isBetween(1, 3);
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

    /** Runs at once on the thread that was told and counts how many run. */
    private record Worker(AtomicInteger inside, AtomicInteger most, AtomicInteger decisions) implements GateListener {
        @Override
        public void admitted(Permit permit) {
            decisions.incrementAndGet();
            most.accumulateAndGet(inside.incrementAndGet(), Math::max);
            inside.decrementAndGet();
            permit.release(Completion.SUCCEEDED);
        }

        @Override
        public void refused(Reason reason, long retryAfterMillis) {
            decisions.incrementAndGet();
        }
    }
}
