package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.membership.Directory;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.routing.TargetHealth.Condition;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

    private static final long TYPICAL_NANOS = Duration.ofMillis(20).toNanos();
    private static final CallResult SUCCESS = CallResult.answered(FakeFleet.ok());
    private static final CallResult LOST = CallResult.unknown(Reason.CONNECTION_LOST, "");

    private final ManualTimerService time = ManualTimerService.create();
    private final TargetChooser chooser = TargetChooser.create(
            FakeFleet.OWN, new Random(1), time.ticker(), EventSink.none(), ChooserSettings.defaults());

    private static Directory directory(TargetRecord... targets) {
        return Directory.of(List.of(), List.of(targets));
    }

    private static TargetRecord target(String name, TargetState state) {
        return FakeFleet.record(name, FakeFleet.OWN, 8, state);
    }

    private static TargetRecord ready(String name) {
        return target(name, TargetState.READY);
    }

    private Optional<TargetRecord> choose(Directory directory) {
        return chooser.choose(directory, FakeFleet.SERVICE, Set.of(), Set.of());
    }

    private void end(TargetRecord target, CallResult result, long nanos) {
        chooser.onStart(target);
        chooser.onResult(target, result, nanos);
    }

    private Set<String> chosenNames(Directory directory, int calls) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < calls; i++) {
            choose(directory).ifPresent(t -> names.add(t.node().id().value()));
        }
        return names;
    }

    private Condition condition(TargetRecord target) {
        return chooser.snapshot().stream()
                .filter(health -> health.node().equals(target.node().id()))
                .findFirst()
                .orElseThrow()
                .condition();
    }

    @Test
    void onlyReadyTargetsAreChosen() {
        Directory some =
                directory(ready("a"), ready("b"), target("c", TargetState.STARTING), target("d", TargetState.LEAVING));
        assertThat(chosenNames(some, 100)).containsExactlyInAnyOrder("a", "b");
        Set<NodeId> a = Set.of(NodeId.of("a"));
        Set<NodeId> b = Set.of(NodeId.of("b"));
        assertThat(chooser.choose(some, FakeFleet.SERVICE, a, Set.of())
                        .orElseThrow()
                        .node()
                        .id()
                        .value())
                .isEqualTo("b");
        assertThat(chooser.choose(some, FakeFleet.SERVICE, a, b)).isEmpty();
        assertThat(choose(Directory.empty())).isEmpty();
    }

    /**
     * Guards against calls to a target that is shutting down: nodes in other data centres learn of it late and still
     * send it calls, which its gate refuses. Each caller must stop after the first refusal, before the directory
     * changes.
     */
    @Test
    void leavingTargetIsAvoidedAfterItsFirstRefusal() {
        Directory two = directory(ready("a"), ready("b"));
        choose(two);
        end(ready("a"), CallResult.notRun(Reason.DRAINING, ""), TYPICAL_NANOS);
        assertThat(chosenNames(two, 100)).containsExactly("b");
        time.advance(Duration.ofSeconds(4));
        assertThat(chosenNames(two, 100)).contains("a");
    }

    /**
     * Guards against a target that fails each call immediately and attracts all calls, since it has the shortest queue
     * and the fastest answers. It must be ejected, and reinstated after a successful probe.
     */
    @Test
    void fastFailingTargetIsEjectedAndProbed() {
        Directory three = directory(ready("a"), ready("b"), ready("c"));
        choose(three);
        for (int i = 0; i < 3; i++) {
            end(ready("b"), SUCCESS, TYPICAL_NANOS);
            end(ready("c"), SUCCESS, TYPICAL_NANOS);
            end(ready("a"), LOST, 1);
        }
        assertThat(condition(ready("a"))).isEqualTo(Condition.EJECTED);
        assertThat(chosenNames(three, 100)).containsExactlyInAnyOrder("b", "c");
        time.advance(Duration.ofSeconds(2));
        assertThat(condition(ready("a"))).isEqualTo(Condition.PROBED);
        end(ready("a"), LOST, 1);
        time.advance(Duration.ofMillis(1500));
        assertThat(condition(ready("a"))).isEqualTo(Condition.EJECTED);
        time.advance(Duration.ofMillis(1500));
        end(ready("a"), SUCCESS, TYPICAL_NANOS);
        assertThat(condition(ready("a"))).isEqualTo(Condition.HEALTHY);
    }

    /** While a probe is in flight, the target gets no other call, so that an unhealthy one fails one call at a time. */
    @Test
    void oneProbeAtATime() {
        Directory two = directory(ready("a"), ready("b"));
        choose(two);
        end(ready("a"), CallResult.notRun(Reason.CONNECT_FAILED, ""), 1);
        time.advance(Duration.ofSeconds(2));
        assertThat(chosenNames(two, 100)).contains("a");
        chooser.onStart(ready("a"));
        assertThat(chosenNames(two, 100)).containsExactly("b");
    }

    /**
     * Guards against ejections when a shared dependency, such as the database of a service, fails and all targets fail
     * with it: ejections would only concentrate the load on a few targets.
     */
    @Test
    void commonFailureEjectsNoTarget() {
        List<TargetRecord> all = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            all.add(ready("t" + i));
        }
        Directory nine = directory(all.toArray(TargetRecord[]::new));
        choose(nine);
        for (int i = 0; i < 20; i++) {
            all.forEach(target -> end(target, LOST, TYPICAL_NANOS));
        }
        assertThat(all).allMatch(target -> condition(target) == Condition.HEALTHY);
    }

    @Test
    void atMostHalfOfTheTargetsAreEjectedForFailures() {
        List<TargetRecord> all = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            all.add(ready("t" + i));
        }
        Directory nine = directory(all.toArray(TargetRecord[]::new));
        choose(nine);
        for (int failing = 0; failing < 8; failing++) {
            for (int i = 0; i < 40; i++) {
                end(all.get(8), SUCCESS, TYPICAL_NANOS);
            }
            for (int i = 0; i < 6; i++) {
                end(all.get(failing), LOST, TYPICAL_NANOS);
            }
        }
        assertThat(all.stream().filter(t -> condition(t) == Condition.EJECTED)).hasSize(4);
    }

    @Test
    void targetIsChosenEvenIfNoneIsReachable() {
        Directory two = directory(ready("a"), ready("b"));
        choose(two);
        chooser.onNodeLost(NodeId.of("a"));
        chooser.onNodeLost(NodeId.of("b"));
        assertThat(chosenNames(two, 100)).containsExactlyInAnyOrder("a", "b");
    }

    /**
     * Guards against a caller with a timeout of 5 ms for calls that take 20 ms, which would have every target ejected.
     */
    @Test
    void shortTimeoutOfACallerDoesNotEjectTargets() {
        Directory two = directory(ready("a"), ready("b"));
        choose(two);
        end(ready("a"), SUCCESS, TYPICAL_NANOS);
        end(ready("b"), SUCCESS, TYPICAL_NANOS);
        CallResult timeout = CallResult.unknown(Reason.TIMED_OUT, "");
        for (int i = 0; i < 10; i++) {
            end(ready("a"), timeout, TYPICAL_NANOS / 4);
        }
        assertThat(condition(ready("a"))).isEqualTo(Condition.HEALTHY);
        for (int i = 0; i < 10; i++) {
            end(ready("b"), SUCCESS, TYPICAL_NANOS);
            end(ready("a"), timeout, TYPICAL_NANOS * 10);
        }
        assertThat(condition(ready("a"))).isEqualTo(Condition.EJECTED);
    }

    @Test
    void refusingTargetGetsFewerCallsButIsNotEjected() {
        Directory two = directory(ready("a"), ready("b"));
        choose(two);
        for (int i = 0; i < 20; i++) {
            end(ready("a"), CallResult.notRun(Reason.SHED_AT_TARGET, ""), 1);
            end(ready("b"), SUCCESS, TYPICAL_NANOS);
        }
        assertThat(condition(ready("a"))).isEqualTo(Condition.HEALTHY);
        assertThat(chosenNames(two, 50)).containsExactly("b");
    }

    @Test
    void serverErrorsCountAsFailuresButClientErrorsDoNot() {
        Directory two = directory(ready("a"), ready("b"));
        choose(two);
        for (int i = 0; i < 10; i++) {
            end(ready("b"), CallResult.answered(new Answer(404, Headers.empty(), ByteString.EMPTY)), TYPICAL_NANOS);
            end(ready("a"), CallResult.answered(new Answer(500, Headers.empty(), ByteString.EMPTY)), TYPICAL_NANOS);
        }
        assertThat(condition(ready("a"))).isEqualTo(Condition.EJECTED);
        assertThat(condition(ready("b"))).isEqualTo(Condition.HEALTHY);
    }

    @Test
    void nearDataCentresArePreferredToOtherRegions() {
        DataCentre region = DataCentre.of("perth-a");
        TargetRecord near = FakeFleet.record("near", FakeFleet.OTHER, 8, TargetState.READY);
        TargetRecord far = FakeFleet.record("far", region, 8, TargetState.READY);
        chooser.onRoundTrip(FakeFleet.OTHER, Duration.ofMillis(2).toNanos());
        chooser.onRoundTrip(region, Duration.ofMillis(250).toNanos());
        assertThat(chosenNames(directory(near, far), 100)).containsExactly("near");
        assertThat(chosenNames(directory(near, far, ready("own")), 100)).containsExactly("own");
        assertThat(chosenNames(directory(far), 10)).containsExactly("far");
    }

    @Test
    void lateResultsOfRemovedTargetsAreIgnored() {
        Directory one = directory(ready("a"));
        choose(one);
        chooser.onResult(ready("gone"), SUCCESS, TYPICAL_NANOS);
        chooser.onResult(ready("a"), SUCCESS, TYPICAL_NANOS);
        assertThat(chooser.snapshot()).hasSize(1).allMatch(health -> health.inFlight() == 0);
        assertThat(ImmutableList.copyOf(chooser.snapshot()).get(0).latencyNanos())
                .isEqualTo(TYPICAL_NANOS);
    }
}
