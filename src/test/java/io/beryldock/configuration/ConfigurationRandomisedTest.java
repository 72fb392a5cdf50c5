package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.flogger.FluentLogger;
import io.beryldock.store.WriteResult;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class ConfigurationRandomisedTest {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final int SCHEDULES = Integer.getInteger("beryldock.configuration.schedules", 150);
    private static final long FIRST_SEED = Long.getLong("beryldock.configuration.seed", 1);
    private static final int MOST_FOR_A_BROKEN_ONE = 200;

    /**
     * Operators change settings while messages are lost, doubled and overtaken, data centres and the store are cut off,
     * answers are lost and nodes are paused and restarted. A user would see a setting that an operator was told is in
     * force go back to an older value, at one node or at all.
     */
    @Test
    void noScheduleMakesAnAcceptedChangeRevert() {
        int inForceChecks = 0;
        int accepted = 0;
        int unknown = 0;
        int conflicts = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            RandomSchedule schedule = new RandomSchedule(seed);
            assertThat(schedule.run()).as("seed " + seed).isEmpty();
            inForceChecks += schedule.inForceChecks;
            accepted += schedule.accepted;
            unknown += schedule.unknown;
            conflicts += schedule.conflicts;
        }
        log.atInfo().log(
                "seeds %d to %d: %d accepted, %d unknown, %d conflicts, %d checks of a node after 13 s",
                FIRST_SEED, FIRST_SEED + SCHEDULES - 1, accepted, unknown, conflicts, inForceChecks);
        assertThat(accepted).isGreaterThan(SCHEDULES);
        assertThat(unknown).isPositive();
        assertThat(conflicts).isPositive();
        assertThat(inForceChecks).isGreaterThan(SCHEDULES);
    }

    /** The checks above must be able to fail: nodes that take any version. */
    @Test
    void nodeThatTakesAnyVersionIsCaught() {
        assertThat(firstCaught(node -> node.versionRule = (current, next) -> true))
                .anyMatch(violation -> violation.contains("fall from"));
    }

    /** A writer that takes a lost answer for a refusal. */
    @Test
    void writerThatTakesLostForNotAppliedIsCaught() {
        assertThat(firstCaught(node ->
                        node.storeSeenAs = store -> new StoreThatMistakes(store, lost -> WriteResult.notApplied())))
                .anyMatch(violation -> violation.contains("and the change is there") || violation.contains("twice"));
    }

    /** A writer that takes a lost answer for success. */
    @Test
    void writerThatTakesLostForAppliedIsCaught() {
        assertThat(firstCaught(node ->
                        node.storeSeenAs = store -> new StoreThatMistakes(store, lost -> WriteResult.applied(1))))
                .isNotEmpty();
    }

    private static List<String> firstCaught(Consumer<FleetNode> fault) {
        for (long seed = 1; seed <= MOST_FOR_A_BROKEN_ONE; seed++) {
            RandomSchedule schedule = new RandomSchedule(seed);
            schedule.fleet.nodes.forEach(fault);
            List<String> violations = schedule.run();
            if (!violations.isEmpty()) {
                return violations;
            }
        }
        return List.of();
    }
}
