package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class FaultPlannerTest {

    private static final int NODES = 4;

    /** Guards against a failed seed that can't be played again. */
    @Test
    void theSameSeedGivesTheSamePlan() {
        Duration length = Duration.ofMinutes(2);
        assertThat(FaultPlanner.draw(7, length, NODES)).isEqualTo(FaultPlanner.draw(7, length, NODES));
        assertThat(FaultPlanner.draw(7, length, NODES)).isNotEqualTo(FaultPlanner.draw(8, length, NODES));
    }

    @Test
    void aFewMinutesMeetEveryFault() {
        EnumSet<FaultAction> met = EnumSet.noneOf(FaultAction.class);
        FaultPlanner.draw(1, Duration.ofMinutes(10), NODES).forEach(fault -> met.add(fault.action()));
        assertThat(met).isEqualTo(EnumSet.allOf(FaultAction.class));
    }

    @Test
    void faultsComeInSeriesAndOverEachOther() {
        ImmutableList<PlannedFault> faults = FaultPlanner.draw(1, Duration.ofMinutes(1), NODES).stream()
                .filter(fault -> fault.action().isUnplanned())
                .collect(ImmutableList.toImmutableList());
        int overlapping = 0;
        for (int i = 1; i < faults.size(); i++) {
            overlapping += faults.get(i).at().compareTo(faults.get(i - 1).end()) < 0 ? 1 : 0;
        }
        assertThat(overlapping).isBetween(1, faults.size() - 2);
    }

    /** Guards against a plan in which a fault of a node is blamed on the recovery of all. */
    @ParameterizedTest
    @ValueSource(ints = {20, 60, 180})
    void nothingElseIsHarmedWhileAllNodesDieAndComeBack(int seconds) {
        for (long seed = 0; seed < 50; seed++) {
            ImmutableList<PlannedFault> plan = FaultPlanner.draw(seed, Duration.ofSeconds(seconds), NODES);
            for (PlannedFault death : plan) {
                if (death.action() == FaultAction.ALL_KILLED) {
                    assertThat(plan)
                            .filteredOn(fault -> fault.action().isUnplanned() && !fault.equals(death))
                            .allMatch(fault -> fault.end().compareTo(death.at()) < 0
                                    || fault.at().compareTo(death.end().plus(RecoveryCheck.BOUND)) >= 0);
                }
            }
        }
    }
}
