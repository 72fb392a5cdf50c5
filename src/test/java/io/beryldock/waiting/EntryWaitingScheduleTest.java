package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.waiting.EntryFixture.Kind;
import io.beryldock.waiting.EntryFixture.TestCaller;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests random schedules of requests, retries, cancellations, credits and trees that need none, on simulated time. */
class EntryWaitingScheduleTest {

    private static final int MAX_REQUESTS = 20;
    private static final List<Kind> KINDS = List.of(ORDER, LOOKUP, BROWSE);

    @Property(tries = 300)
    void anyScheduleDecidesEachRequestOnceAndKeepsTheBounds(@ForAll long seed) {
        Run run = new Run(seed);
        for (int i = 0; i < 300; i++) {
            run.step();
            run.check();
        }
        run.stop();
    }

    /** A random schedule. */
    private static final class Run {
        private final Random random;
        private final EntryFixture fixture = EntryFixture.of(new WaitingSettings(MAX_REQUESTS, 1_000_000));
        private final List<TestCaller> all = new ArrayList<>();

        Run(long seed) {
            random = new Random(seed);
            fixture.credits.slots(5);
        }

        void step() {
            int draw = random.nextInt(100);
            if (draw < 50) {
                all.add(fixture.ask(any(KINDS), "organisation-" + random.nextInt(3)));
            } else if (draw < 60 && !all.isEmpty()) {
                any(all).pending.cancel();
            } else if (draw < 70 && !all.isEmpty()) {
                TestCaller refusedCaller = any(all);
                if (refusedCaller.refused()) {
                    refusedCaller.retry();
                }
            } else if (draw < 80) {
                grant();
            } else if (draw < 82) {
                fixture.credits.governing = !fixture.credits.governing;
            } else {
                fixture.advance(random.nextInt(60));
            }
        }

        /** Checks that a request that starts precedes all requests that still wait behind it for the same credits. */
        private void grant() {
            Set<TestCaller> waited =
                    new HashSet<>(all.stream().filter(TestCaller::isWaiting).toList());
            fixture.credits.grantTrees(ORDER.tree(), 1 + random.nextInt(3));
            for (TestCaller started : waited) {
                if (started.covered()) {
                    assertThat(waited).noneMatch(other -> other.isWaiting() && precedes(other, started));
                }
            }
        }

        private static boolean precedes(TestCaller one, TestCaller other) {
            boolean sameLane = one.attempts == 1 && other.attempts == 1;
            boolean sameLine = one.kind.equals(other.kind) && one.organisation.equals(other.organisation);
            return sameLane && sameLine && one.order < other.order;
        }

        void check() {
            WaitingSnapshot snapshot = fixture.entry.snapshot();
            assertThat(snapshot.waiting()).isLessThanOrEqualTo(MAX_REQUESTS);
            assertThat(all.stream().filter(TestCaller::isWaiting).count()).isEqualTo(snapshot.waiting());
            assertThat(all).allMatch(caller -> caller.decisions <= caller.attempts);
            boolean timer = fixture.timers.nextDue() != Long.MAX_VALUE;
            assertThat(timer).isEqualTo(snapshot.waiting() > 0);
        }

        void stop() {
            fixture.entry.stop();
            assertThat(all).allMatch(caller -> caller.decisions == caller.attempts);
            assertThat(all.stream().filter(caller -> caller.attempts == 1 && caller.covered()))
                    .allMatch(caller -> caller.meetsObjective(1));
        }

        private <T> T any(List<T> list) {
            return list.get(random.nextInt(list.size()));
        }
    }
}
