package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Outcome;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Seeded runs of the real decision classes under crashes, pauses, lost, doubled, late and overtaking messages, cut
 * networks, planned stops and a failing store.
 */
final class KeyedRequestScheduleTest {

    private static final int SCHEDULES = 100_000;
    /** A broken variant has to be caught within as many schedules. */
    private static final int BROKEN_SCHEDULES = 20_000;

    /**
     * A library's order is placed twice and the university pays for books it never wanted; or a caller is told that its
     * order did not run, and it did; or it reads another caller's answer. Each comes of some order of submissions at
     * several nodes, lost or late messages and failures of nodes and store, which no single example covers.
     */
    @Test
    void everyScheduleKeepsThePromises() {
        LongAdder answered = new LongAdder();
        LongAdder notRun = new LongAdder();
        LongAdder unknown = new LongAdder();
        Optional<String> broken = LongStream.range(0, SCHEDULES)
                .parallel()
                .mapToObj(seed -> {
                    KeyedRequestSchedule schedule = new KeyedRequestSchedule(seed, SimulatedFleet.Variant.NONE);
                    Optional<String> failure = schedule.run();
                    answered.add(schedule.ledger().count(Outcome.ANSWERED));
                    notRun.add(schedule.ledger().count(Outcome.NOT_RUN));
                    unknown.add(schedule.ledger().count(Outcome.UNKNOWN));
                    return failure;
                })
                .flatMap(Optional::stream)
                .findAny();
        System.out.printf(
                "%d schedules: %d answered, %d not run, %d unknown%n",
                SCHEDULES, answered.sum(), notRun.sum(), unknown.sum());
        assertThat(broken).isEmpty();
        assertThat(answered.sum()).isGreaterThan(SCHEDULES);
        assertThat(notRun.sum()).isGreaterThan(SCHEDULES / 10);
        assertThat(unknown.sum()).isGreaterThan(SCHEDULES / 10);
    }

    /**
     * An order runs twice: its answer is lost and a retry goes to another target, a doubled message starts it again,
     * two nodes bind its key after a lost answer of the store, or two successors of its home decide. A run that could
     * not catch these would prove nothing.
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void catchesEachBrokenVariant(SimulatedFleet.Variant variant) {
        Optional<String> caught = LongStream.range(0, BROKEN_SCHEDULES)
                .parallel()
                .mapToObj(seed -> new KeyedRequestSchedule(seed, variant).run())
                .flatMap(Optional::stream)
                .findAny();
        assertThat(caught).isPresent();
    }
}
