package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Headers;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.retry.ArrivalBudget;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.ArrivalKind;
import io.beryldock.retry.RetryLedger;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

class TargetExecutorTest {

    private static final Duration LONGEST_DECISION = Duration.ofSeconds(1);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(10);
    private static final double SHARE = 0.2;
    private static final String POISON = "/lists/poison";
    private static final CallResult NOT_ENDED = CallResult.notRun(Reason.INTERNAL, "it has not ended");

    private final ManualTimerService time = ManualTimerService.create();
    private final Quarantine quarantine = TargetFixtures.quarantine(time);
    private final AnnouncedTarget target = TargetFixtures.target(time);
    private final Deque<CompletableFuture<TargetReply>> sent = new ArrayDeque<>();
    private final TargetCrashDetector crashes =
            TargetFixtures.crashDetector(TargetProcessState.ENDED, quarantine, time);
    private final ArrivalControl arrivals =
            ArrivalControl.create(time.ticker(), new ArrivalBudget.Limits(SHARE, Duration.ofSeconds(10)));
    private final TargetExecutor executor = TargetExecutor.create(new TargetExecutor.Ports(
            () -> Optional.of(target),
            this::send,
            ExecutionRegistry.create(),
            RetryLedger.create(),
            quarantine,
            null,
            crashes,
            load -> {},
            arrivals,
            time,
            EventSink.none()));

    private TargetExchange send(Call call, BooleanSupplier sendable) {
        if (!sendable.getAsBoolean()) {
            return TargetExchange.unabortable(CompletableFuture.completedFuture(TargetReply.notSent("withdrawn")));
        }
        CompletableFuture<TargetReply> reply = new CompletableFuture<>();
        sent.add(reply);
        return TargetExchange.unabortable(reply);
    }

    private CompletableFuture<CallResult> run(String path, CancelScope scope) {
        return executor.execute(TargetFixtures.read(path, TIME_LIMIT), scope);
    }

    private CompletableFuture<CallResult> run(String path) {
        return run(path, CancelScope.create());
    }

    private void lose() {
        sent.remove().complete(TargetReply.lost("the connection was closed"));
    }

    private void answer() {
        sent.remove().complete(TargetReply.answered(new Answer(200, Headers.empty(), ByteString.EMPTY)));
    }

    private static Optional<Reason> reason(CompletableFuture<CallResult> result) {
        return result.getNow(NOT_ENDED).reason();
    }

    @Test
    void aRequestThatCrashesTheTargetTwiceIsRefused() {
        for (int crash = 0; crash < 2; crash++) {
            CompletableFuture<CallResult> result = run(POISON);
            lose();
            time.advance(LONGEST_DECISION);
            assertThat(result.getNow(NOT_ENDED).outcome()).isEqualTo(Outcome.UNKNOWN);
        }
        assertThat(reason(run(POISON))).contains(Reason.QUARANTINED);
        assertThat(sent).isEmpty();
    }

    /** Guards against a crash that is not attributed to a request because its caller or the link to it had gone. */
    @Test
    void aCrashCountsAfterTheCallerHasGone() {
        for (int crash = 0; crash < 2; crash++) {
            CancelScope scope = CancelScope.create();
            CompletableFuture<CallResult> result = run(POISON, scope);
            scope.cancel();
            assertThat(result.getNow(NOT_ENDED).outcome()).isEqualTo(Outcome.UNKNOWN);
            lose();
            time.advance(LONGEST_DECISION);
        }
        assertThat(reason(run(POISON))).contains(Reason.QUARANTINED);
    }

    /** Guards against suspects from exchanges whose connection this node closed itself. */
    @Test
    void anExchangeThatTheNodeGaveUpIsNoCrash() {
        for (int i = 0; i < 2; i++) {
            CompletableFuture<CallResult> result = run(POISON);
            sent.remove().complete(TargetReply.givenUp("the time is over"));
            time.advance(LONGEST_DECISION);
            assertThat(reason(result)).contains(Reason.TIMED_OUT);
        }
        run(POISON);
        assertThat(sent).hasSize(1);
        answer();
    }

    /** Guards against a caller who retries before the decision: the second run must be known as a suspect's. */
    @Test
    void aRequestThatIsResentAtOnceWaitsForTheDecision() {
        run(POISON);
        lose();
        CompletableFuture<CallResult> second = run(POISON);
        CompletableFuture<CallResult> other = run("/lists/1");
        assertThat(sent).as("the other request").hasSize(1);
        answer();
        assertThat(other).isCompleted();
        time.advance(LONGEST_DECISION);
        assertThat(sent).as("the suspect").hasSize(1);
        lose();
        time.advance(LONGEST_DECISION);
        assertThat(second.getNow(NOT_ENDED).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(reason(run(POISON))).contains(Reason.QUARANTINED);
    }

    /** Guards against a run that no one waits for, and against UNKNOWN as the result of a request that never ran. */
    @Test
    void aRequestThatIsGivenUpBeforeTheDecisionNeverRuns() {
        run(POISON);
        lose();
        CancelScope scope = CancelScope.create();
        CompletableFuture<CallResult> second = run(POISON, scope);
        scope.cancel();
        time.advance(LONGEST_DECISION);
        assertThat(second.getNow(NOT_ENDED).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(reason(second)).contains(Reason.CANCELLED);
        assertThat(sent).isEmpty();
    }

    /** Guards against a request that reaches a target seconds after it has left, as it was admitted before. */
    @Test
    void requestThatWaitsForTheDecisionIsNotSentToATargetThatHasLeftMeanwhile() {
        run(POISON);
        lose();
        CompletableFuture<CallResult> second = run(POISON);
        target.gate().drain();
        time.advance(LONGEST_DECISION);
        assertThat(sent).isEmpty();
        assertThat(second.getNow(NOT_ENDED).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(reason(second)).contains(Reason.DRAINING);
        assertThat(target.gate().idle()).as("the slot is released").isCompleted();
    }

    private CompletableFuture<CallResult> resend(String path) {
        Call call = TargetFixtures.read(path, TIME_LIMIT);
        CallContext again = call.context().withResent(true);
        return executor.execute(call.attempt(call.id(), again), CancelScope.create());
    }

    /** Guards against repeats that reach a target although the first arrivals at it do not cover them. */
    @Test
    void repeatThatTheBudgetDoesNotCoverIsNotSent() {
        CompletableFuture<CallResult> result = resend("/lists/1");
        assertThat(result.getNow(NOT_ENDED).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(reason(result)).contains(Reason.REPEATS_LIMITED);
        assertThat(sent).isEmpty();
    }

    /** Guards against a repeat that was admitted while it waits and is sent after others have used up the budget. */
    @Test
    void repeatIsChargedWhenItIsSent() {
        for (int i = 0; i < 100; i++) {
            run("/lists/" + i);
            answer();
        }
        List<CompletableFuture<CallResult>> results = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            results.add(resend("/lists/" + i));
        }
        while (!sent.isEmpty()) {
            answer();
        }
        long repeats = arrivals.tally().rows().entrySet().stream()
                .filter(row -> row.getKey().kind() == ArrivalKind.RESENT)
                .mapToLong(row -> row.getValue().sent())
                .sum();
        assertThat(results)
                .anyMatch(result ->
                        reason(result).filter(Reason.REPEATS_LIMITED::equals).isPresent());
        assertThat(repeats).isPositive().isLessThanOrEqualTo((long) (SHARE * 100));
    }
}
