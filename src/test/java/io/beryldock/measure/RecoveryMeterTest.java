package io.beryldock.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.beryldock.measure.UserRequest.Verdict;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RecoveryMeterTest {

    /** One request each 10 ms over 10 s; those asked from 4 s to the end given fail. */
    private static List<UserRequest> failingUntil(double end) {
        List<UserRequest> list = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            double at = i / 100.0;
            boolean fails = at >= 4 && at < end;
            list.add(Samples.ended(Samples.PAGE, "r" + i, at, fails ? Verdict.NOT_RUN : Verdict.COMPLETE));
        }
        return list;
    }

    @Test
    void countsFromTheEndOfTheCause() {
        assertThat(RecoveryMeter.seconds(failingUntil(6), 0, Samples.scenario()))
                .hasValue(0);
        double seconds =
                RecoveryMeter.seconds(failingUntil(7.5), 0, Samples.scenario()).orElseThrow();
        assertThat(seconds).isCloseTo(1.5, within(0.11));
    }

    @Test
    void aMorningThatStaysSickNeverRecovers() {
        assertThat(RecoveryMeter.seconds(failingUntil(10), 0, Samples.scenario()))
                .isEmpty();
    }
}
