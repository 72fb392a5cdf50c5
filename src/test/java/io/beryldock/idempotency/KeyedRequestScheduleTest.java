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
 * Randomised runs of the production decision classes under crashes, pauses, network partitions, planned stops, store
 * failures, and lost, duplicated, delayed and reordered messages.
 */
final class KeyedRequestScheduleTest {

    private static final int SCHEDULES = 100_000;
    /** Number of schedules within which a broken variant must be detected. */
    private static final int BROKEN_SCHEDULES = 20_000;

    /**
     * Guards against an order that runs twice, an order that runs although NOT_RUN was returned to its caller, and an
     * answer that is returned to another caller. Each of these needs a particular interleaving of submissions at
     * several nodes, lost or late messages, and failures of nodes and of the store, which single examples cannot cover.
     */
    @Test
    void everyScheduleKeepsTheInvariants() {
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
     * Verifies that the schedules detect an order that runs twice: after a lost answer a retry goes to another target,
     * a duplicated message starts it again, two nodes bind its key after a lost answer of the store, or two successors
     * of its home dispatch it. Without this check, a passing run would not show that the schedules can detect
     * violations.
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsEachBrokenVariant(SimulatedFleet.Variant variant) {
        Optional<String> detected = LongStream.range(0, BROKEN_SCHEDULES)
                .parallel()
                .mapToObj(seed -> new KeyedRequestSchedule(seed, variant).run())
                .flatMap(Optional::stream)
                .findAny();
        assertThat(detected).isPresent();
    }
}
