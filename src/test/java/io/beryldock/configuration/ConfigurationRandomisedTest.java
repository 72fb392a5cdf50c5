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
    private static final int MAX_SCHEDULES_WITH_FAULT = 200;

    /**
     * Guards against an accepted change that reverts to an older value, on one node or on all nodes, under random
     * faults: messages are lost, duplicated and reordered, data centres and the store are cut off, store answers are
     * lost, and nodes are paused and restarted.
     */
    @Test
    void acceptedChangeNeverRevertsUnderRandomFaults() {
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

    /** Verifies that the checks detect nodes that accept any version, including lower ones. */
    @Test
    void nodeThatAcceptsAnyVersionIsDetected() {
        assertThat(firstViolations(node -> node.versionRule = (current, next) -> true))
                .anyMatch(violation -> violation.contains("must not go back from"));
    }

    /** Verifies that the checks detect a writer that treats a lost answer as a write that was not applied. */
    @Test
    void writerThatTreatsLostAnswerAsNotAppliedIsDetected() {
        assertThat(firstViolations(node ->
                        node.storeWrapper = store -> new MisreportingStore(store, lost -> WriteResult.notApplied())))
                .anyMatch(violation -> violation.contains("but is in the history") || violation.contains("twice"));
    }

    /** Verifies that the checks detect a writer that treats a lost answer as a write that was applied. */
    @Test
    void writerThatTreatsLostAnswerAsAppliedIsDetected() {
        assertThat(firstViolations(node ->
                        node.storeWrapper = store -> new MisreportingStore(store, lost -> WriteResult.applied(1))))
                .isNotEmpty();
    }

    private static List<String> firstViolations(Consumer<FleetNode> fault) {
        for (long seed = 1; seed <= MAX_SCHEDULES_WITH_FAULT; seed++) {
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
