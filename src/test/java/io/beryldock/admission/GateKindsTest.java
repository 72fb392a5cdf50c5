package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.Heard;
import io.beryldock.call.Reason;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A target that serves kinds of requests which take 15 and 540 ms. */
class GateKindsTest {

    private static final int SHORT = 1;
    private static final int LONG = 2;

    /** Guards against short requests that are turned away since long ones raise the mean of all. */
    @Test
    void shortKindIsNotRefusedForTheMeanOfALongOne() {
        GateFixture fixture = toldApart(4);
        learn(fixture);
        Heard running = fixture.submit(3, LONG, 5_000, false);
        assertThat(fixture.submit(3, SHORT, 100, false).admitted()).isTrue();
        assertThat(running.admitted()).isTrue();
    }

    /** Guards against long requests that run in vain since short ones lower the mean of all. */
    @Test
    void longKindIsRefusedWhenItCanNotFinish() {
        GateFixture fixture = toldApart(4);
        learn(fixture);
        fixture.submit(3, LONG, 5_000, false);
        assertThat(fixture.submit(3, LONG, 500, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
    }

    /** Guards against a short kind that is never let in, and so never known to be short. */
    @Test
    void kindThatIsNotKnownIsTriedNowAndThen() {
        GateFixture fixture = toldApart(4);
        end(fixture, fixture.submit(3, LONG, 5_000, false), 540);
        fixture.submit(3, LONG, 5_000, false);
        Heard probe = fixture.submit(3, SHORT, 100, false);
        assertThat(probe.admitted()).isTrue();
        assertThat(fixture.submit(3, SHORT, 100, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
        end(fixture, probe, 15);
        assertThat(fixture.submit(3, SHORT, 100, false).admitted()).isTrue();
    }

    @Test
    void waitingRequestsExpireByTheTimeOfTheirKind() {
        GateFixture fixture = toldApart(1);
        learn(fixture);
        Heard running = fixture.submit(3, LONG, 5_000, false);
        Heard shortOne = fixture.submit(3, SHORT, 100, false);
        Heard longOne = fixture.submit(3, LONG, 600, false);
        fixture.pass(65);
        assertThat(longOne.reason).isEqualTo(Reason.DEADLINE_PASSED);
        assertThat(shortOne.waits()).isTrue();
        running.succeed();
        assertThat(shortOne.admitted()).isTrue();
    }

    @Test
    void coveredOnesGoBeforeOthersOfTheirRankAndNeverBeforeAMoreImportantOne() {
        GateFixture fixture = toldApart(1);
        Heard running = fixture.submit(3);
        Heard sunk = fixture.submit(3, 500, 1_000);
        Heard covered = fixture.submit(3, SHORT, 1_000, true);
        Heard important = fixture.submit(0, SHORT, 1_000, false);
        for (Heard next : List.of(running, important, covered, sunk)) {
            assertThat(next.admitted()).isTrue();
            next.succeed();
        }
    }

    @Test
    void leastSlackGoesFirst() {
        GateFixture fixture = toldApart(1);
        learn(fixture);
        Heard running = fixture.submit(0, SHORT, 1_000, false);
        Heard shortOne = fixture.submit(3, SHORT, 900, false);
        Heard longOne = fixture.submit(3, LONG, 1_200, false);
        running.succeed();
        assertThat(longOne.admitted()).isTrue();
        assertThat(shortOne.waits()).isTrue();
    }

    /** Guards against memory that grows with the paths that callers make up. */
    @Test
    void kindsBeyondTheBoundGoByTheMean() {
        GateFixture fixture = toldApart(4);
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

    /** Guards against gates that decide otherwise where nobody asked for it. */
    @Test
    void whereKindsAreNotToldApartTheMeanDecides() {
        GateFixture fixture = new GateFixture(GateFixture.warm(4));
        learn(fixture);
        fixture.submit(3, LONG, 5_000, false);
        assertThat(fixture.submit(3, SHORT, 100, false).reason).isEqualTo(Reason.DEADLINE_PASSED);
    }

    private static GateFixture toldApart(int slots) {
        return new GateFixture(GateFixture.warm(slots).withTimesByKind(true));
    }

    private static void learn(GateFixture fixture) {
        List<Heard> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(end(fixture, fixture.submit(3, SHORT, 5_000, false), 15));
            all.add(end(fixture, fixture.submit(3, LONG, 5_000, false), 540));
        }
        assertThat(all).allMatch(Heard::admitted);
    }

    private static Heard end(GateFixture fixture, Heard heard, long millis) {
        fixture.pass(millis);
        heard.succeed();
        return heard;
    }
}
