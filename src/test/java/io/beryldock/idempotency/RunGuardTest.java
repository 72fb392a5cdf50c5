package io.beryldock.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests of {@link RunGuard} and {@link KeyedRunTable}. */
final class RunGuardTest {

    private static final TicketSettings SETTINGS =
            new TicketSettings(2, 2_000, Duration.ofMinutes(1), Duration.ofMinutes(10), 2, 1_000);

    private final ManualTimerService timers = ManualTimerService.create();
    private final KeyedRunTable runTable = KeyedRunTable.create(SETTINGS, timers.ticker());
    private final RunGuard guard = RunGuard.create(runTable);
    private final List<CompletableFuture<CallResult>> runs = new ArrayList<>();

    /**
     * Guards against a second run when the network delivers an order to the target's node twice: both copies must get
     * the answer of the single run.
     */
    @Test
    void duplicateMessageJoinsTheRun() {
        Call call = KeyedFixtures.call("t1", 1);
        CompletableFuture<CallResult> first = run(call);
        CompletableFuture<CallResult> second = run(call);
        runs.get(0).complete(KeyedFixtures.answer("done"));
        assertThat(runs).hasSize(1);
        assertThat(second.join()).isEqualTo(first.join());
        assertThat(run(call).join()).isEqualTo(first.join());
    }

    /**
     * Guards against an order that runs after NOT_RUN was returned to its caller. The target's node sheds the order,
     * the home tries another target and finally returns NOT_RUN; a delayed copy of the first message arrives when the
     * target has free slots again.
     */
    @Test
    void refusedAttemptStaysRefusedWhileAnotherAttemptMayStart() {
        Call call = KeyedFixtures.call("t1", 1);
        run(call);
        runs.get(0).complete(CallResult.notRun(Reason.SHED_AT_TARGET, ""));
        assertThat(run(call).join().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(runs).hasSize(1);
        run(KeyedFixtures.call("t1", 2));
        assertThat(runs).hasSize(2);
    }

    @Test
    void answerIsFoundByItsCallerOnlyAndUntilRetentionEnds() {
        Call call = KeyedFixtures.call("t1", 1);
        run(call);
        CallResult answer = KeyedFixtures.answer("done");
        TicketScope scope = new TicketScope(KeyedFixtures.ANN, RequestFingerprint.of(call));
        TicketScope otherCaller = new TicketScope(KeyedFixtures.BOB, RequestFingerprint.of(call));
        CompletableFuture<?> whileRunning = runTable.find("t1", scope);
        runs.get(0).complete(answer);
        assertThat(whileRunning.join()).isEqualTo(runTable.find("t1", scope).join());
        assertThat(runTable.find("t1", scope).join()).contains(answer);
        assertThat(runTable.find("t1", otherCaller).join().orElseThrow().reason())
                .contains(Reason.KEY_IN_USE);
        timers.advance(SETTINGS.retention());
        run(KeyedFixtures.call("t2", 2));
        assertThat(runTable.find("t1", scope).join()).isEmpty();
    }

    @Test
    void lateAnswerReplacesUnknownResult() {
        Call call = KeyedFixtures.call("t1", 1);
        run(call);
        runs.get(0).complete(CallResult.unknown(Reason.TIMED_OUT, ""));
        CallResult answer = KeyedFixtures.answer("late");
        guard.recordLateAnswer(call, answer);
        guard.recordLateAnswer(call, KeyedFixtures.answer("another"));
        assertThat(run(call).join()).isEqualTo(answer);
    }

    @Test
    void fullTableRefusesAndRecordsRefusalsWhileSpaceLasts() {
        run(KeyedFixtures.call("t1", 1));
        run(KeyedFixtures.call("t2", 2));
        Call third = KeyedFixtures.call("t3", 3);
        assertThat(run(third).join().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(run(third).join().outcome()).isEqualTo(Outcome.NOT_RUN);
        run(KeyedFixtures.call("t4", 4));
        assertThat(run(KeyedFixtures.call("t5", 5)).join().outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(runs).hasSize(2);
    }

    private CompletableFuture<CallResult> run(Call call) {
        return guard.run(call, KeyedFixtures.ANN, () -> {
            CompletableFuture<CallResult> end = new CompletableFuture<>();
            runs.add(end);
            return end;
        });
    }
}
