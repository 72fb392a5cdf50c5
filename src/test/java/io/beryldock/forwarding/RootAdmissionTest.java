package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.admission.EntryShedder;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Route;
import io.beryldock.credit.Claimant;
import io.beryldock.credit.NoCredits;
import io.beryldock.credit.TreeKey;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.waiting.EntryAdmission;
import io.beryldock.waiting.EntryDecision;
import io.beryldock.waiting.WaitingRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Load pattern: a service further down the call tree is short of capacity, so requests wait at their entry. */
final class RootAdmissionTest {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final long LIMIT = Duration.ofSeconds(2).toNanos();

    private final ManualTimerService timers = ManualTimerService.create();
    private final CompletableFuture<EntryDecision> decision = new CompletableFuture<>();
    private final List<Call> dispatched = new ArrayList<>();
    private final List<TreeKey> givenBack = new ArrayList<>();
    private boolean left;
    private CallResult result = CallResult.answered(new Answer(200, Headers.empty(), ByteString.EMPTY));

    private final EntryShedder shedder = EntryShedder.create(timers.ticker(), new Random(1), EventSink.none());
    private final RootAdmission admission = RootAdmission.create(new RootAdmission.Ports(
            Policy.FULL, shedder, new AlwaysGoverningCredits(), new SingleWaitAdmission(), timers.ticker()));

    private CompletableFuture<CallResult> start(CancelScope scope) {
        RequestId id = RequestIds.of(Incarnation.random(new Random(1))).next();
        CallContext context = new CallContext(id, id, PriorityClass.ofRank(1), LIMIT, 1, 0, 7, 0, false);
        Route route = new Route("/lists", ImmutableSet.of(), LISTS, "pages", true, Duration.ofSeconds(2), "none");
        Call call = new Call(
                id,
                Call.OUTSIDE,
                LISTS,
                "GET",
                "/lists",
                Headers.empty(),
                ByteString.EMPTY,
                true,
                Optional.empty(),
                context);
        RootAdmission.Root root = RootAdmission.Root.of(
                route, call, Optional.empty(), false, LIMIT, timers.ticker().nanos());
        return admission.start(root, scope, started -> {
            dispatched.add(started);
            return CompletableFuture.completedFuture(result);
        });
    }

    /** Guards against call trees that run after their caller has left: the wait is part of the caller's time. */
    @Test
    void theWaitIsSubtractedFromTheTimeOfTheTree() {
        CompletableFuture<CallResult> ended = start(CancelScope.create());
        timers.advance(Duration.ofMillis(1_500));
        decision.complete(EntryDecision.covered());
        assertThat(dispatched).hasSize(1);
        assertThat(dispatched.get(0).context().remainingNanos())
                .isEqualTo(Duration.ofMillis(500).toNanos());
        assertThat(dispatched.get(0).context().covered()).isTrue();
        assertThat(ended).isCompletedWithValue(result);
    }

    /** Guards against all waiting requests starting at once, unchecked, when the home node of a service is lost. */
    @Test
    void aRequestThatCreditsNoLongerGovernIsDecidedByLevels() {
        shedder.observe(LISTS, 1, ImmutableList.of(new ServiceLevel(LISTS, 0)));
        for (int i = 0; i < 7; i++) {
            shedder.observe(LISTS, 1, ImmutableList.of(new ServiceLevel(LISTS, 0)));
        }
        CompletableFuture<CallResult> ended = start(CancelScope.create());
        decision.complete(EntryDecision.notGoverned());
        assertThat(dispatched).isEmpty();
        assertThat(ended.join().reason()).contains(Reason.SHED_AT_DOOR);
    }

    /** Guards against credits that are lost with requests that a gate refused. */
    @Test
    void creditsOfATreeThatDidNotRunAreGivenBack() {
        result = CallResult.notRun(Reason.SHED_AT_TARGET, "");
        start(CancelScope.create());
        decision.complete(EntryDecision.covered());
        assertThat(givenBack).hasSize(1);
    }

    @Test
    void aRefusedRequestDoesNotRunAndGetsARetryAfter() {
        CompletableFuture<CallResult> ended = start(CancelScope.create());
        decision.complete(EntryDecision.refused(700));
        assertThat(dispatched).isEmpty();
        assertThat(ended.join().reason()).contains(Reason.NO_ROOM_BENEATH);
        assertThat(ended.join().retryAfterMillis()).isEqualTo(700);
    }

    /** Guards against queue places that are held for callers who have gone. */
    @Test
    void aCallerThatLeavesFreesItsPlace() {
        CancelScope scope = CancelScope.create();
        start(scope);
        scope.cancel();
        assertThat(left).isTrue();
    }

    /** Makes one request wait for the decision of the test. */
    private final class SingleWaitAdmission implements EntryAdmission {

        @Override
        public Pending admit(WaitingRequest request) {
            return new Pending() {
                @Override
                public CompletableFuture<EntryDecision> decision() {
                    return decision;
                }

                @Override
                public void cancel() {
                    left = true;
                }
            };
        }

        @Override
        public void stop() {}
    }

    /** Credits that always govern, as for a service without spare capacity. */
    private final class AlwaysGoverningCredits extends NoCredits {

        @Override
        public boolean requiresCredits(TreeKey tree) {
            return true;
        }

        @Override
        public void giveBack(TreeKey tree, Claimant claimant) {
            givenBack.add(tree);
        }
    }
}
