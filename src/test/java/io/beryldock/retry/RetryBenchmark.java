package io.beryldock.retry;

import io.beryldock.call.CallResult;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time that retry accounting and decisions add to a call. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class RetryBenchmark {

    private static final ServiceName CALLER = ServiceName.of("lists");
    private static final ServiceName CALLEE = ServiceName.of("holdings");

    private final RetryLedger ledger = RetryLedger.create();
    private final RequestIds ids = RequestIds.of(Incarnation.random(new Random(1)));
    private final RetryBudgets budgets =
            RetryBudgets.create(Ticker.system(), service -> RetryBudgetSettings.defaults());
    private final RetryGate gate = RetryGate.create(RetryPolicy.create(), EventSink.none());
    private final EndedAttempt refused = new EndedAttempt(
            CallResult.notRun(Reason.SHED_AT_TARGET, ""), true, 1, 1, 3, 1_000_000_000L, 1_000_000L, 0, false);

    /** Cost for each run of a target: opens an account, grants twice, settles both grants and closes the account. */
    @Benchmark
    public int accountOfARun() {
        RetryAccount account = ledger.open(ids.next(), 4);
        RetryGrant first = account.grant(GrantPolicy.standard(), false);
        first.giveBack(first.amount());
        RetryGrant second = account.grant(GrantPolicy.standard(), false);
        second.giveBack(1);
        return account.close();
    }

    @Benchmark
    public void firstTry() {
        budgets.of(CALLER, CALLEE).onFirstTry();
    }

    @Benchmark
    public RetryDecision askForARetry() {
        RetryAccount account = ledger.open(ids.next(), 4);
        RetryDecision decision = gate.decide(refused, account, budgets.of(CALLER, CALLEE));
        account.close();
        return decision;
    }
}
