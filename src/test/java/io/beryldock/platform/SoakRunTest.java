package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.beryldock.soak.FaultAction;
import io.beryldock.soak.SoakReport;
import io.beryldock.soak.SoakRun;
import io.beryldock.soak.TargetProfile;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Soak runs of three node processes with a planned stop, link and process faults, and a crash of all processes. */
final class SoakRunTest {

    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final int NODES = 3;

    /** Seed of a run that restores the store from an older copy 9 s after the start and injects no faults after it. */
    private static final long RESTORING_SEED = 15;

    private static final Duration RESTORING_DURATION = Duration.ofSeconds(40);

    /** Seed of a run in which late writes and lapsed leases meet departures. */
    private static final long DEPARTING_SEED = 16;

    private static final Duration DEPARTING_DURATION = Duration.ofSeconds(60);
    private static final int DEPARTING_NODES = 4;
    private static final ImmutableSet<FaultAction> AROUND_DEPARTURES = ImmutableSet.of(
            FaultAction.TARGET_LEAVES,
            FaultAction.KILLED,
            FaultAction.STORE_WRITES_LATE,
            FaultAction.STORE_SILENT,
            FaultAction.STORE_LEASES_LAPSED);

    /** Guards against an invariant that holds within one process but breaks between processes under faults. */
    @Test
    void invariantsHoldUnderSeededFaults() throws IOException, InterruptedException {
        runSoak(1, DURATION);
    }

    /** Guards against nodes that ignore documents after the store was restored from an older copy. */
    @Test
    void invariantsHoldAfterStoreIsRestoredFromOlderCopy() throws IOException, InterruptedException {
        runSoak(RESTORING_SEED, RESTORING_DURATION);
    }

    /** Guards against requests to targets whose confirmed departure is undone by the store or by a restart. */
    @Test
    void departuresOutliveRestartsAndFaultsOfTheStore() throws IOException, InterruptedException {
        runSoak(new SoakRun.Plan(
                DEPARTING_SEED, DEPARTING_DURATION, DEPARTING_NODES, TargetProfile.CHANGING, AROUND_DEPARTURES));
    }

    private static void runSoak(long seed, Duration duration) throws IOException, InterruptedException {
        runSoak(SoakRun.Plan.of(seed, duration, NODES));
    }

    private static void runSoak(SoakRun.Plan plan) throws IOException, InterruptedException {
        SoakReport report = SoakRun.play(plan, SoakSurroundings.start(plan.seed(), plan.profile()));
        assertThat(report.broken()).as("logs in %s", report.directory()).isEmpty();
        assertThat(report.served()).isPositive();
    }
}
