package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Route;
import io.beryldock.forwarding.InnerCallDetector.InnerCaller;
import io.beryldock.retry.RetryLedger;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class InnerCallDetectorTest {

    private static final ServiceName LISTS = ServiceName.of("lists");

    private final ExecutionRegistry executions =
            ExecutionRegistry.create(call -> Optional.of("tag-" + call.id().counter()));
    private long now;
    private final InnerCallDetector detector =
            InnerCallDetector.create(executions, () -> Optional.of(LISTS), () -> now);

    private static Route route(String prefix) {
        return new Route(prefix, ImmutableSet.of(), LISTS, "priority-1", true, Duration.ofSeconds(5), "retries-1")
                .forHost("a.example", ImmutableList.of());
    }

    private void run(Duration timeLeft) {
        run(timeLeft, false);
    }

    private void run(Duration timeLeft, boolean repeat) {
        RequestId id = new RequestId(new Incarnation(1, 1), executions.size() + 1);
        CallContext context = new CallContext(id, id, PriorityClass.of("p", 2), timeLeft.toNanos(), 0, 0, 0, 0, false)
                .withRepeat(repeat);
        Call call = new Call(
                id, LISTS, LISTS, "GET", "/", Headers.empty(), ByteString.EMPTY, true, Optional.empty(), context);
        RetryLedger ledger = RetryLedger.create(EventSink.none());
        executions.add(new Execution(call, ledger.open(id, 0), CancelScope.create(), now, now + timeLeft.toNanos()));
    }

    private Optional<ServiceName> ask(String prefix, int millis) {
        return detector.caller(route(prefix), Optional.of(Duration.ofMillis(millis)), Optional.empty())
                .map(InnerCaller::service);
    }

    private Optional<Duration> parentTimeLeft(int millis) {
        return detector.caller(route("/inner/"), Optional.of(Duration.ofMillis(millis)), Optional.empty())
                .flatMap(InnerCaller::parent)
                .map(parent -> Duration.ofNanos(parent.remainingNanos(now)));
    }

    @Test
    void callWithinTheTimeOfARunningCallIsInner() {
        run(Duration.ofMillis(800));
        assertThat(ask("/inner/", 790)).contains(LISTS);
    }

    @Test
    void requestWithMoreTimeThanAnyRunningCallIsACallers() {
        run(Duration.ofMillis(800));
        assertThat(ask("/list/", 5000)).isEmpty();
    }

    @Test
    void nothingIsInnerWhileNothingRuns() {
        assertThat(ask("/inner/", 10)).isEmpty();
    }

    /** Guards against inner calls of orders that wait like those of pages under overload: their parent is unknown. */
    @Test
    void parentIsTheRunWhoseTimeTheCallPassesOn() {
        run(Duration.ofNanos(800_700_000));
        run(Duration.ofNanos(640_300_000));
        run(Duration.ofNanos(801_900_000));
        assertThat(parentTimeLeft(800)).contains(Duration.ofNanos(800_700_000));
        assertThat(parentTimeLeft(640)).contains(Duration.ofNanos(640_300_000));
    }

    /** The time left of a call whose own limit is shorter than its parent's does not identify the parent. */
    @Test
    void callWithATimeOfItsOwnHasNoParent() {
        run(Duration.ofMillis(800));
        assertThat(parentTimeLeft(700)).isEmpty();
    }

    /** Guards against a caller's second try, with little time left, that is taken for an inner call and never shed. */
    @Test
    void laterRequestOnACallersRouteIsACallersWhateverTimeItHas() {
        run(Duration.ofMillis(800));
        ask("/list/", 5000);
        assertThat(ask("/list/", 300)).isEmpty();
        now += Duration.ofMinutes(1).toNanos();
        run(Duration.ofMillis(800));
        assertThat(ask("/list/", 300)).contains(LISTS);
    }

    /**
     * Guards against a search of an order that waits behind browsing: two runs have the same time left and the search's
     * own limit is shorter than both, so time left does not identify its parent, but its id does.
     */
    @Test
    void callWhoseIdNamesARunningCallIsItsInnerCall() {
        run(Duration.ofMillis(800));
        run(Duration.ofMillis(800));
        Optional<Execution> parent = detector.caller(
                        route("/inner/"), Optional.of(Duration.ofMillis(300)), Optional.of("tag-2"))
                .flatMap(InnerCaller::parent);
        assertThat(parent.map(execution -> execution.call().id().counter())).contains(2L);
    }

    /** An id that names a run is no proof by itself: a caller may choose any id. */
    @Test
    void idThatNamesNoRunningCallIsIgnored() {
        run(Duration.ofMillis(800));
        assertThat(detector.caller(route("/list/"), Optional.of(Duration.ofSeconds(5)), Optional.of("tag-9")))
                .isEmpty();
        executions.remove(new RequestId(new Incarnation(1, 1), 1));
        assertThat(executions.findByTag("tag-1")).isEmpty();
    }

    /** Guards against calls of a repeated run that are taken for first ones because the node has given the run up. */
    @Test
    void callWhoseIdNamesAnEndedRepeatIsARepeat() {
        run(Duration.ofMillis(800), false);
        run(Duration.ofMillis(800), true);
        executions.remove(new RequestId(new Incarnation(1, 1), 1));
        executions.remove(new RequestId(new Incarnation(1, 1), 2));
        assertThat(isRepeat(Optional.of("tag-2"))).contains(true);
        assertThat(isRepeat(Optional.of("tag-1"))).isEmpty();
    }

    /** Guards against a caller's first request that is refused as a repeat because its origin is uncertain. */
    @Test
    void callOfUnknownParentIsNoRepeatWhileARepeatRuns() {
        run(Duration.ofMillis(800), true);
        assertThat(isRepeat(Optional.empty())).contains(false);
    }

    private Optional<Boolean> isRepeat(Optional<String> tag) {
        return detector.caller(route("/inner/"), Optional.of(Duration.ofMillis(300)), tag)
                .map(InnerCaller::endedRepeat);
    }
}
