package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.CallResult;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.call.TargetLoad;
import io.beryldock.membership.Directory;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.routing.TargetHealth.Condition;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Choices where the targets' reports of load are used. */
final class ReportedPlacementTest {

    private static final int SLOTS = 16;
    private static final long USUAL = Duration.ofMillis(20).toNanos();
    private static final ChooserSettings SETTINGS =
            ChooserSettings.defaults().withPlacement(Placement.COMPLETION, Duration.ofMillis(10));
    private static final CallResult LOST = CallResult.unknown(Reason.CONNECTION_LOST, "");

    private final ManualTimerService time = ManualTimerService.create();
    private final TargetRecord a = ready("a");
    private final TargetRecord b = ready("b");
    private final TargetRecord c = ready("c");
    private final Directory all = Directory.of(List.of(), List.of(a, b, c));
    private final Directory withoutA = Directory.of(List.of(), List.of(b, c));
    private TargetChooser chooser = chooser(1, SETTINGS);
    private long version;

    private static TargetRecord ready(String name) {
        return FakeFleet.record(name, FakeFleet.OWN, SLOTS, TargetState.READY);
    }

    private TargetChooser chooser(long seed, ChooserSettings settings) {
        return TargetChooser.create(FakeFleet.OWN, new Random(seed), time.ticker(), EventSink.none(), settings);
    }

    private Optional<TargetRecord> choose(Directory directory) {
        return chooser.choose(directory, FakeFleet.SERVICE, Set.of(), Set.of());
    }

    private long chosen(TargetRecord target, int calls) {
        long count = 0;
        for (int i = 0; i < calls; i++) {
            count += choose(all).filter(target::equals).isPresent() ? 1 : 0;
        }
        return count;
    }

    private void answer(TargetRecord target, int running, boolean draining) {
        TargetLoad load = new TargetLoad(++version, SLOTS, running, 0, USUAL, false, draining);
        end(target, CallResult.answered(FakeFleet.ok()).withLoad(load));
    }

    private void end(TargetRecord target, CallResult result) {
        chooser.onStart(target);
        time.advance(Duration.ofNanos(USUAL));
        chooser.onResult(target, result, USUAL);
    }

    private TargetHealth health(TargetRecord target) {
        return chooser.snapshot().stream()
                .filter(health -> health.node().equals(target.node().id()))
                .findFirst()
                .orElseThrow();
    }

    private Optional<TargetRecord> handOn(TargetRecord... tried) {
        Set<NodeId> excluded = Set.copyOf(
                List.of(tried).stream().map(target -> target.node().id()).toList());
        return chooser.chooseFree(FakeFleet.SERVICE, excluded, Set.of());
    }

    /** Guards against calls to a target that tells with its answers that it leaves, before the directory does. */
    @Test
    void aReportOfDrainingIsEnough() {
        choose(all);
        answer(a, 3, true);
        assertThat(chosen(a, 100)).isZero();
        time.advance(Duration.ofSeconds(1));
        assertThat(chosen(a, 100)).isPositive();
    }

    /** Guards against a refused call that waits, or is refused again, while slots elsewhere are known to be free. */
    @Test
    void aRefusedCallIsHandedToFreeSlots() {
        choose(all);
        answer(a, 0, false);
        answer(b, SLOTS, false);
        answer(c, 10, false);
        assertThat(handOn(a)).contains(c);
        assertThat(handOn(a, c)).isEmpty();
        time.advance(Duration.ofSeconds(1));
        assertThat(handOn()).isEmpty();
    }

    @Test
    void withoutReportsNothingIsHandedOn() {
        chooser = chooser(1, ChooserSettings.defaults());
        choose(all);
        answer(a, 0, false);
        assertThat(handOn()).isEmpty();
    }

    /** Guards against reports that waited in this node's buffers while it was paused. */
    @Test
    void aReportFromBeforeAPauseDoesNotCount() {
        choose(all);
        chooser.onStart(a);
        time.advance(Duration.ofSeconds(5));
        TargetLoad old = new TargetLoad(1, SLOTS, 0, 0, USUAL, false, false);
        CallResult result = CallResult.answered(FakeFleet.ok()).withLoad(old);
        chooser.onResult(a, result, Duration.ofSeconds(5).toNanos());
        assertThat(health(a).reportAgeNanos()).isNegative();
        answer(a, 2, false);
        assertThat(health(a).freeSlots()).isEqualTo(SLOTS - 2);
    }

    /** Guards against all callers running to the one target that has just told them of its free slots. */
    @Test
    void callersDoNotAllFollowTheSameNews() {
        List<TargetRecord> targets = new ArrayList<>();
        for (int i = 0; i < 13; i++) {
            targets.add(ready("t" + i));
        }
        Directory directory = Directory.of(List.of(), targets);
        int toFree = 0;
        for (int caller = 0; caller < 200; caller++) {
            chooser = chooser(caller, SETTINGS);
            choose(directory);
            targets.forEach(target -> answer(target, target.equals(targets.get(0)) ? 0 : 15, false));
            toFree += choose(directory).filter(targets.get(0)::equals).isPresent() ? 1 : 0;
        }
        assertThat(toFree).isBetween(15, 50);
    }

    /** Guards against a target that goes and comes by turns and is taken up at the same speed each time. */
    @Test
    void aTargetThatComesBackOftenIsTakenUpMoreSlowly() {
        choose(all);
        List<Double> shares = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            choose(withoutA);
            time.advance(Duration.ofSeconds(1));
            choose(all);
            time.advance(Duration.ofSeconds(5));
            shares.add(health(a).share());
        }
        assertThat(shares.get(0)).isGreaterThan(shares.get(1));
        assertThat(shares.get(1)).isGreaterThan(shares.get(2));
        choose(withoutA);
        time.advance(Duration.ofMinutes(2));
        choose(all);
        time.advance(Duration.ofSeconds(10));
        assertThat(health(a).share()).isEqualTo(1);
    }

    /** Guards against a flapping target whose every announcement ends the time for which it is left out. */
    @Test
    void newsEndsAFirstEjectionButNotARepeatedOne() {
        choose(all);
        eject();
        choose(Directory.of(List.of(), List.of(revised(2), b, c)));
        assertThat(health(a).condition()).isEqualTo(Condition.PROBED);
        answer(a, 0, false);
        eject();
        choose(Directory.of(List.of(), List.of(revised(3), b, c)));
        assertThat(health(a).condition()).isEqualTo(Condition.EJECTED);
    }

    private void eject() {
        for (int i = 0; i < 3; i++) {
            answer(b, 0, false);
            answer(c, 0, false);
            end(a, LOST);
        }
        assertThat(health(a).condition()).isEqualTo(Condition.EJECTED);
    }

    private TargetRecord revised(long revision) {
        return new TargetRecord(a.node(), a.service(), a.slots(), a.state(), revision);
    }
}
