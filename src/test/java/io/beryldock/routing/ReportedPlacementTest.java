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

/** Tests the choice of targets when their load reports are used. */
final class ReportedPlacementTest {

    private static final int SLOTS = 16;
    private static final long TYPICAL_NANOS = Duration.ofMillis(20).toNanos();
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
        TargetLoad load = new TargetLoad(++version, SLOTS, running, 0, TYPICAL_NANOS, false, draining);
        end(target, CallResult.answered(FakeFleet.ok()).withLoad(load));
    }

    private void end(TargetRecord target, CallResult result) {
        chooser.onStart(target);
        time.advance(Duration.ofNanos(TYPICAL_NANOS));
        chooser.onResult(target, result, TYPICAL_NANOS);
    }

    private TargetHealth health(TargetRecord target) {
        return chooser.snapshot().stream()
                .filter(health -> health.node().equals(target.node().id()))
                .findFirst()
                .orElseThrow();
    }

    private Optional<TargetRecord> chooseFree(TargetRecord... tried) {
        Set<NodeId> excluded = Set.copyOf(
                List.of(tried).stream().map(target -> target.node().id()).toList());
        return chooser.chooseFree(FakeFleet.SERVICE, excluded, Set.of());
    }

    /**
     * Guards against calls to a target that reports with its answers that it is draining, before the directory does.
     */
    @Test
    void targetThatReportsDrainingIsNotChosen() {
        choose(all);
        answer(a, 3, true);
        assertThat(chosen(a, 100)).isZero();
        time.advance(Duration.ofSeconds(1));
        assertThat(chosen(a, 100)).isPositive();
    }

    /**
     * Guards against a refused call that waits or is refused again while other targets are known to have free slots.
     */
    @Test
    void refusedCallIsSentToFreeSlots() {
        choose(all);
        answer(a, 0, false);
        answer(b, SLOTS, false);
        answer(c, 10, false);
        assertThat(chooseFree(a)).contains(c);
        assertThat(chooseFree(a, c)).isEmpty();
        time.advance(Duration.ofSeconds(1));
        assertThat(chooseFree()).isEmpty();
    }

    @Test
    void noFreeSlotsAreKnownWithoutReports() {
        chooser = chooser(1, ChooserSettings.defaults());
        choose(all);
        answer(a, 0, false);
        assertThat(chooseFree()).isEmpty();
    }

    /** Guards against reports that waited in this node's buffers while it was paused. */
    @Test
    void reportFromBeforeAPauseIsIgnored() {
        choose(all);
        chooser.onStart(a);
        time.advance(Duration.ofSeconds(5));
        TargetLoad old = new TargetLoad(1, SLOTS, 0, 0, TYPICAL_NANOS, false, false);
        CallResult result = CallResult.answered(FakeFleet.ok()).withLoad(old);
        chooser.onResult(a, result, Duration.ofSeconds(5).toNanos());
        assertThat(health(a).reportAgeNanos()).isNegative();
        answer(a, 2, false);
        assertThat(health(a).freeSlots()).isEqualTo(SLOTS - 2);
    }

    /** Guards against all callers choosing the one target that has just reported free slots to them. */
    @Test
    void callersDoNotAllFollowTheSameReport() {
        List<TargetRecord> targets = new ArrayList<>();
        for (int i = 0; i < 13; i++) {
            targets.add(ready("t" + i));
        }
        Directory directory = Directory.of(List.of(), targets);
        int choicesOfFree = 0;
        for (int caller = 0; caller < 200; caller++) {
            chooser = chooser(caller, SETTINGS);
            choose(directory);
            targets.forEach(target -> answer(target, target.equals(targets.get(0)) ? 0 : 15, false));
            choicesOfFree += choose(directory).filter(targets.get(0)::equals).isPresent() ? 1 : 0;
        }
        assertThat(choicesOfFree).isBetween(15, 50);
    }

    /** Guards against a flapping target whose ramp has the same length after each return. */
    @Test
    void rampOfAFlappingTargetGetsLonger() {
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

    /** Guards against a flapping target whose ejection is ended by each of its announcements. */
    @Test
    void newRevisionEndsAFirstEjectionButNotARepeatedOne() {
        choose(all);
        ejectA();
        choose(Directory.of(List.of(), List.of(revised(2), b, c)));
        assertThat(health(a).condition()).isEqualTo(Condition.PROBED);
        answer(a, 0, false);
        ejectA();
        choose(Directory.of(List.of(), List.of(revised(3), b, c)));
        assertThat(health(a).condition()).isEqualTo(Condition.EJECTED);
    }

    private void ejectA() {
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
