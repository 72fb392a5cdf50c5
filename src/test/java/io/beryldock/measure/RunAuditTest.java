package io.beryldock.measure;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.measure.UserRequest.Verdict;
import io.beryldock.standin.StandinResources;
import io.beryldock.standin.StandinTarget;
import io.beryldock.standin.StandinTargetSettings;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import java.util.List;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The audit against what a target really ran. */
final class RunAuditTest {

    private final StandinResources resources = StandinResources.start();
    private StandinTarget target;

    @BeforeEach
    void start() throws Exception {
        target = StandinTarget.start(StandinTargetSettings.of("orders", 4, ServiceTime.fixed(1)), resources);
    }

    @AfterEach
    void stop() {
        target.close();
        resources.close();
    }

    private void run(String method, String path, String echo) throws Exception {
        String uri = "http://127.0.0.1:" + target.address().getPort() + path + "?echo=" + echo;
        resources
                .client()
                .execute(SimpleRequestBuilder.create(method).setUri(uri).build(), null)
                .get();
    }

    private RunAudit audit(UserRequest... requests) {
        return RunAudit.of(List.of(requests), List.of(target));
    }

    /** A library's order is placed twice: the first answer was lost on the way, something sent the order again. */
    @Test
    void findsAnOrderThatRanTwice() throws Exception {
        run("POST", "/orders/1", "r1");
        run("POST", "/orders/1", "r1");
        run("POST", "/orders/1", "r2");
        RunAudit audit = audit(
                Samples.ended(Samples.ORDER, "r1", 0, Verdict.COMPLETE),
                Samples.ended(Samples.ORDER, "r2", 0, Verdict.COMPLETE));
        assertThat(audit.doubleRuns()).isEqualTo(1);
        assertThat(audit.executedRetriesMax()).isEqualTo(1);
    }

    /** The caller is told that her request did not run; its inner lookup did. */
    @Test
    void findsWhatRanThoughItWasToldNotRun() throws Exception {
        run("GET", "/holdings/1", "r1.0");
        assertThat(audit(Samples.ended(Samples.PAGE, "r1", 0, Verdict.NOT_RUN)).notRunButRan())
                .isEqualTo(1);
        assertThat(audit(Samples.ended(Samples.PAGE, "r1", 0, Verdict.NO_ANSWER, Verdict.NOT_RUN))
                        .notRunButRan())
                .as("an earlier attempt may have run")
                .isZero();
    }

    @Test
    void countsSlotTimeOfRequestsThatDidNotCompleteAsWasted() throws Exception {
        run("GET", "/lists/1", "r1");
        assertThat(audit(Samples.ended(Samples.PAGE, "r1", 0, Verdict.UNKNOWN)).wastedWorkShare())
                .isEqualTo(1);
        assertThat(audit(Samples.ended(Samples.PAGE, "r1", 0, Verdict.COMPLETE)).wastedWorkShare())
                .isZero();
    }

    @Test
    void leavesOutRunsOfOtherLoad() throws Exception {
        run("POST", "/orders/1", "warm-up");
        run("POST", "/orders/1", "warm-up");
        RunAudit audit = audit(Samples.ended(Samples.ORDER, "r1", 0, Verdict.NOT_RUN));
        assertThat(audit).isEqualTo(new RunAudit(0, 0, 0, 0, 0));
    }
}
