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

    /** Guards against a promise that holds within one process and breaks between processes under faults. */
    @Test
    void everyPromiseHoldsUnderTheFaultsOfASeed() throws IOException, InterruptedException {
        SoakReport report = SoakRun.play(new SoakRun.Plan(1, LENGTH, NODES), SoakSurroundings.start());
        assertThat(report.broken()).as("logs in %s", report.directory()).isEmpty();
        assertThat(report.served()).isPositive();
    }
}
