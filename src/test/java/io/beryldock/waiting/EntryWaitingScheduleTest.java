package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.waiting.EntryFixture.Asked;
import io.beryldock.waiting.EntryFixture.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Random schedules of requests, returns, leaving clients, credits and trees that need none, on injected time. */
class EntryWaitingScheduleTest {

    private static final int MAX_REQUESTS = 20;
    private static final List<Kind> KINDS = List.of(ORDER, LOOKUP, BROWSE);

    @Property(tries = 300)
    void whateverHappensEachRequestIsDecidedOnceAndTheBoundsHold(@ForAll long seed) {
        Run run = new Run(seed);
        for (int i = 0; i < 300; i++) {
            run.step();
            run.check();
        }
        run.stop();
    }

    /** One schedule. */
    private static final class Run {
        private final Random random;
        private final EntryFixture fixture = EntryFixture.of(new WaitingSettings(MAX_REQUESTS, 1_000_000));
        private final List<Asked> all = new ArrayList<>();

        Run(long seed) {
            random = new Random(seed);
            fixture.credits.slots(5);
        }

        void step() {
            int dice = random.nextInt(100);
            if (dice < 50) {
                all.add(fixture.ask(any(KINDS), "organisation-" + random.nextInt(3)));
            } else if (dice < 60 && !all.isEmpty()) {
                any(all).pending.leave();
            } else if (dice < 70 && !all.isEmpty()) {
                Asked again = any(all);
                if (again.refused()) {
                    again.askAgain();
                }
            } else if (dice < 80) {
                grant();
            } else if (dice < 82) {
                fixture.credits.governing = !fixture.credits.governing;
            } else {
                fixture.pass(random.nextInt(60));
            }
        }

        /** Who starts goes before all that wait for the same credits behind it. */
        private void grant() {
            Set<Asked> waited = new HashSet<>(all.stream().filter(Asked::waits).toList());
            fixture.credits.grantTrees(ORDER.tree(), 1 + random.nextInt(3));
            for (Asked started : waited) {
                if (started.covered()) {
                    assertThat(waited).noneMatch(other -> other.waits() && goesBefore(other, started));
                }
            }
        }

        private static boolean goesBefore(Asked one, Asked other) {
            boolean sameLane = one.attempts == 1 && other.attempts == 1;
            boolean sameLine = one.kind.equals(other.kind) && one.organisation.equals(other.organisation);
            return sameLane && sameLine && one.order < other.order;
        }

        void check() {
            WaitingSnapshot snapshot = fixture.entry.snapshot();
            assertThat(snapshot.waiting()).isLessThanOrEqualTo(MAX_REQUESTS);
            assertThat(all.stream().filter(Asked::waits).count()).isEqualTo(snapshot.waiting());
            assertThat(all).allMatch(asked -> asked.decisions <= asked.attempts);
            boolean timer = fixture.timers.nextDue() != Long.MAX_VALUE;
            assertThat(timer).isEqualTo(snapshot.waiting() > 0);
        }

        void stop() {
            fixture.entry.stop();
            assertThat(all).allMatch(asked -> asked.decisions == asked.attempts);
            assertThat(all.stream().filter(asked -> asked.attempts == 1 && asked.covered()))
                    .allMatch(asked -> asked.meetsObjective(1));
        }

        private <T> T any(List<T> list) {
            return list.get(random.nextInt(list.size()));
        }
    }
}
