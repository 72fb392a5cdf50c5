package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.soak.SoakReport;
import io.beryldock.soak.SoakRun;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Three node processes under a planned stop, faults of links and processes, and the death of all of them. */
final class SoakRunTest {

    private static final Duration LENGTH = Duration.ofSeconds(20);
    private static final int NODES = 3;

    /** Brings the store back from an older copy 9 s after the start, with calm after it. */
    private static final long RESTORING_SEED = 15;

    private static final Duration RESTORING_LENGTH = Duration.ofSeconds(40);

    /** Guards against a promise that holds within one process and breaks between processes under faults. */
    @Test
    void everyPromiseHoldsUnderTheFaultsOfASeed() throws IOException, InterruptedException {
        play(1, LENGTH);
    }

    /** Guards against documents that nodes ignore after the store came back from an older copy. */
    @Test
    void everyPromiseHoldsWhenTheStoreComesBackFromAnOlderCopy() throws IOException, InterruptedException {
        play(RESTORING_SEED, RESTORING_LENGTH);
    }

    private static void play(long seed, Duration length) throws IOException, InterruptedException {
        SoakReport report = SoakRun.play(new SoakRun.Plan(seed, length, NODES), SoakSurroundings.start());
        assertThat(report.broken()).as("logs in %s", report.directory()).isEmpty();
        assertThat(report.served()).isPositive();
    }
}
