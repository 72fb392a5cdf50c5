package io.beryldock.idempotency;

import static io.beryldock.idempotency.KeyedFixtures.ANN;
import static io.beryldock.idempotency.KeyedFixtures.BOB;
import static io.beryldock.idempotency.KeyedFixtures.ORDER;
import static io.beryldock.idempotency.KeyedFixtures.OTHER_ORDER;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests of {@link TicketTable}. */
final class TicketTableTest {

    private static final TicketSettings SETTINGS =
            new TicketSettings(3, 10_000, Duration.ofMinutes(1), Duration.ofMinutes(10), 2, 1_000);

    private final ManualTimerService timers = ManualTimerService.create();
    private final TicketTable table = TicketTable.create(
            KeyedFixtures.node("home", 1), SETTINGS, timers.ticker(), new Random(1), EventSink.none());
    private final List<CallResult> results = new ArrayList<>();

    @Test
    void dispatchesOnceJoinsInFlightAndReplaysTheAnswer() throws TicketRefusedException {
        TicketId ticket = table.mint();
        assertThat(present(ticket)).isInstanceOf(TicketDecision.Dispatch.class);
        assertThat(present(ticket)).isInstanceOf(TicketDecision.Joined.class);
        CallResult answer = KeyedFixtures.answer("ordered");
        table.recordResult(ticket, answer);
        assertThat(results).containsExactly(answer, answer);
        assertThat(present(ticket)).isEqualTo(new TicketDecision.Replay(answer));
    }

    /**
     * Guards against an order that runs twice: its first run times out with an unknown outcome, the caller retries, and
     * the home dispatches the ticket again.
     */
    @Test
    void neverDispatchesAgainAfterUnknownAndAcceptsLateAnswer() throws TicketRefusedException {
        TicketId ticket = table.mint();
        present(ticket);
        table.recordResult(ticket, CallResult.unknown(Reason.TIMED_OUT, ""));
        assertThat(present(ticket)).isInstanceOf(TicketDecision.Resolve.class);
        CallResult late = KeyedFixtures.answer("late");
        table.recordResult(ticket, late);
        assertThat(present(ticket)).isEqualTo(new TicketDecision.Replay(late));
    }

    /**
     * Guards against an order that runs after NOT_RUN was returned: the caller orders again under another key, and then
     * a delayed copy of the first submission arrives.
     */
    @Test
    void closesTicketAfterNotRun() throws TicketRefusedException {
        TicketId ticket = table.mint();
        present(ticket);
        table.recordResult(ticket, CallResult.notRun(Reason.SHED_AT_DOOR, ""));
        assertThat(outcome(present(ticket))).isEqualTo(Outcome.NOT_RUN);
        table.recordResult(ticket, KeyedFixtures.answer("impossible"));
        assertThat(outcome(present(ticket))).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a caller that guesses or copies another caller's ticket and reads that caller's answer. */
    @Test
    void returnsAnswerToItsCallerAndRequestOnly() throws TicketRefusedException {
        TicketId ticket = table.mint();
        present(ticket);
        table.recordResult(ticket, KeyedFixtures.answer("for ann"));
        assertThat(reason(table.present(ticket, BOB, ORDER, results::add))).isEqualTo(Reason.KEY_IN_USE);
        assertThat(reason(table.present(ticket, ANN, OTHER_ORDER, results::add)))
                .isEqualTo(Reason.KEY_IN_USE);
        TicketId guessed = new TicketId(ticket.home(), ticket.counter(), ticket.nonce() + 1);
        assertThat(outcome(present(guessed))).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void refusesToMintInsteadOfRemovingTicketsEarly() throws TicketRefusedException {
        TicketId first = table.mint();
        present(first);
        table.recordResult(first, KeyedFixtures.answer("kept"));
        table.mint();
        table.mint();
        assertThatThrownBy(table::mint).isInstanceOf(TicketRefusedException.class);
        timers.advance(SETTINGS.unusedLifetime());
        table.mint();
        assertThat(present(first)).isInstanceOf(TicketDecision.Replay.class);
        timers.advance(SETTINGS.retention());
        assertThat(outcome(present(first))).isEqualTo(Outcome.UNKNOWN);
        assertThat(table.bytes()).isZero();
    }

    @Test
    void doesNotStoreOversizedAnswerAndReportsUnknown() throws TicketRefusedException {
        TicketId ticket = table.mint();
        present(ticket);
        table.recordResult(ticket, KeyedFixtures.answer("x".repeat(20_000)));
        assertThat(results).hasSize(1).allMatch(result -> result.outcome() == Outcome.ANSWERED);
        assertThat(present(ticket)).isInstanceOf(TicketDecision.Resolve.class);
    }

    @Test
    void frozenTableMakesNoDecisions() throws TicketRefusedException {
        TicketId ticket = table.mint();
        table.freeze();
        assertThat(outcome(present(ticket))).isEqualTo(Outcome.UNKNOWN);
        assertThatThrownBy(table::mint).isInstanceOf(TicketRefusedException.class);
    }

    private TicketDecision present(TicketId ticket) {
        return table.present(ticket, ANN, ORDER, results::add);
    }

    private static Outcome outcome(TicketDecision decision) {
        return ((TicketDecision.Refuse) decision).result().outcome();
    }

    private static Reason reason(TicketDecision decision) {
        return ((TicketDecision.Refuse) decision).result().reason().orElseThrow();
    }
}
