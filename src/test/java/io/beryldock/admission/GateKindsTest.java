package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.RecordingListener;
import io.beryldock.call.Reason;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a target that serves two kinds of requests, which take 15 and 540 ms. */
class GateKindsTest {

    private static final int SHORT = 1;
    private static final int LONG = 2;

    /** Guards against refusing short requests because long ones raise the mean of all kinds. */
    @Test
    void shortKindIsNotRefusedForTheMeanOfALongOne() {
        GateFixture fixture = fixtureWithKindTimes(4);
        learn(fixture);
        RecordingListener running = fixture.submit(3, LONG, 5_000, false);
        assertThat(fixture.submit(3, SHORT, 100, false).admitted()).isTrue();
        assertThat(running.admitted()).isTrue();
    }

    /**
     * Guards against admitting long requests that cannot finish in time because short ones lower the mean of all kinds.
     */
    @Test
    void longKindIsRefusedWhenItCannotFinish() {
        GateFixture fixture = fixtureWithKindTimes(4);
        learn(fixture);
        fixture.submit(3, LONG, 5_000, false);
        assertThat(fixture.submit(3, LONG, 500, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
    }

    /** Guards against a short kind that is never admitted and whose service time therefore stays unknown. */
    @Test
    void unknownKindIsProbedPeriodically() {
        GateFixture fixture = fixtureWithKindTimes(4);
        end(fixture, fixture.submit(3, LONG, 5_000, false), 540);
        fixture.submit(3, LONG, 5_000, false);
        RecordingListener probe = fixture.submit(3, SHORT, 100, false);
        assertThat(probe.admitted()).isTrue();
        assertThat(fixture.submit(3, SHORT, 100, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
        end(fixture, probe, 15);
        assertThat(fixture.submit(3, SHORT, 100, false).admitted()).isTrue();
    }

    @Test
    void waitingRequestsExpireByTheTimeOfTheirKind() {
        GateFixture fixture = fixtureWithKindTimes(1);
        learn(fixture);
        RecordingListener running = fixture.submit(3, LONG, 5_000, false);
        RecordingListener shortOne = fixture.submit(3, SHORT, 100, false);
        RecordingListener longOne = fixture.submit(3, LONG, 600, false);
        fixture.advance(65);
        assertThat(longOne.reason).isEqualTo(Reason.DEADLINE_PASSED);
        assertThat(shortOne.isWaiting()).isTrue();
        running.succeed();
        assertThat(shortOne.admitted()).isTrue();
    }

    @Test
    void coveredRequestsPrecedeOthersOfTheirRankButNoMoreImportantOnes() {
        GateFixture fixture = fixtureWithKindTimes(1);
        RecordingListener running = fixture.submit(3);
        RecordingListener sunk = fixture.submit(3, 500, 1_000);
        RecordingListener covered = fixture.submit(3, SHORT, 1_000, true);
        RecordingListener important = fixture.submit(0, SHORT, 1_000, false);
        for (RecordingListener next : List.of(running, important, covered, sunk)) {
            assertThat(next.admitted()).isTrue();
            next.succeed();
        }
    }

    @Test
    void requestWithLeastSlackIsAdmittedFirst() {
        GateFixture fixture = fixtureWithKindTimes(1);
        learn(fixture);
        RecordingListener running = fixture.submit(0, SHORT, 1_000, false);
        RecordingListener shortOne = fixture.submit(3, SHORT, 900, false);
        RecordingListener longOne = fixture.submit(3, LONG, 1_200, false);
        running.succeed();
        assertThat(longOne.admitted()).isTrue();
        assertThat(shortOne.isWaiting()).isTrue();
    }

    /** Guards against memory that grows with the number of different paths that callers send. */
    @Test
    void kindsBeyondTheMaximumUseTheMean() {
        GateFixture fixture = fixtureWithKindTimes(4);
        for (int kind = 1; kind <= 64; kind++) {
            end(fixture, fixture.submit(3, kind, 5_000, false), 1);
        }
        for (int kind = 65; kind <= 120; kind++) {
            end(fixture, fixture.submit(3, kind, 5_000, false), 200);
        }
        fixture.submit(3, 65, 5_000, false);
        assertThat(fixture.submit(3, 66, 100, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
        assertThat(fixture.submit(3, 64, 100, false).admitted()).isTrue();
    }

    /** Guards against decisions by kind where they are not enabled. */
    @Test
    void withoutKindTimesTheMeanDecides() {
        GateFixture fixture = new GateFixture(GateFixture.warm(4));
        learn(fixture);
        fixture.submit(3, LONG, 5_000, false);
        assertThat(fixture.submit(3, SHORT, 100, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
    }

    private static GateFixture fixtureWithKindTimes(int slots) {
        return new GateFixture(GateFixture.warm(slots).withTimesByKind(true));
    }

    private static void learn(GateFixture fixture) {
        List<RecordingListener> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(end(fixture, fixture.submit(3, SHORT, 5_000, false), 15));
            all.add(end(fixture, fixture.submit(3, LONG, 5_000, false), 540));
        }
        assertThat(all).allMatch(RecordingListener::admitted);
    }

    private static RecordingListener end(GateFixture fixture, RecordingListener listener, long millis) {
        fixture.advance(millis);
        listener.succeed();
        return listener;
    }
}
