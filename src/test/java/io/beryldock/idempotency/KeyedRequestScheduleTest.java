package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Outcome;
import io.beryldock.platform.PlatformStore;
import io.beryldock.platform.WriteResult;
import io.beryldock.wire.WireTicketOffer;
import io.beryldock.wire.WireTicketRequest;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

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

    /** An order whose answer was lost is sent to another target, as a careless retry does. */
    @Test
    void catchesDispatchAfterUnknown() {
        assertCaught(new SimulatedFleet.Variant(true, false, UnaryOperator.identity(), UnaryOperator.identity()));
    }

    /** A message that the network doubled starts the order at the target again. */
    @Test
    void catchesATargetNodeWithoutGuard() {
        assertCaught(new SimulatedFleet.Variant(false, true, UnaryOperator.identity(), UnaryOperator.identity()));
    }

    /** A node takes a write whose answer was lost for done, so two nodes bind one key to two tickets. */
    @Test
    void catchesASkippedReadBack() {
        assertCaught(new SimulatedFleet.Variant(
                false, false, KeyedRequestScheduleTest::withoutReadBack, UnaryOperator.identity()));
    }

    /** A successor decides over a table of which parts are missing, while the home turns to another successor. */
    @Test
    void catchesASuccessorThatDecidesTooEarly() {
        assertCaught(new SimulatedFleet.Variant(
                false, false, UnaryOperator.identity(), KeyedRequestScheduleTest::asIfWhole));
    }

    private static void assertCaught(SimulatedFleet.Variant variant) {
        Optional<String> caught = LongStream.range(0, BROKEN_SCHEDULES)
                .parallel()
                .mapToObj(seed -> new KeyedRequestSchedule(seed, variant).run())
                .flatMap(Optional::stream)
                .findAny();
        assertThat(caught).isPresent();
    }

    private static PlatformStore withoutReadBack(PlatformStore store) {
        return new ForwardingStore(
                store,
                (expected, result) ->
                        result.kind() == WriteResult.Kind.UNKNOWN ? WriteResult.applied(expected + 1) : result);
    }

    private static WireTicketRequest asIfWhole(WireTicketRequest request) {
        if (!request.hasOffer()) {
            return request;
        }
        WireTicketOffer offer = request.getOffer().toBuilder().setParts(1).build();
        return request.toBuilder().setOffer(offer).build();
    }
}
