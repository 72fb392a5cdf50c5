package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.soak.SoakReport;
import io.beryldock.soak.SoakRun;
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

    private static void runSoak(long seed, Duration duration) throws IOException, InterruptedException {
        SoakRun.Plan plan = SoakRun.Plan.of(seed, duration, NODES);
        SoakReport report = SoakRun.play(plan, SoakSurroundings.start(plan.seed(), plan.profile()));
        assertThat(report.broken()).as("logs in %s", report.directory()).isEmpty();
        assertThat(report.served()).isPositive();
    }
}
