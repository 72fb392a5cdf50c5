package io.beryldock.admission;

import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A gate on injected time whose broken invariants fail the test, and listeners that note what they hear. */
final class GateFixture {

    static final EventSink FAILING_ON_BROKEN = (kind, request, subject, detail) -> {
        if (kind == EventKind.INVARIANT_BROKEN) {
            throw new AssertionError(detail);
        }
    };

    final ManualTimerService timers = ManualTimerService.create();
    final TargetGate gate;
    private int submitted;
    private final RequestIds ids = RequestIds.of(Incarnation.random(new Random(1)));

    GateFixture(GateSettings settings) {
        gate = TargetGate.create(settings, timers, new Random(2), FAILING_ON_BROKEN, ServiceName.of("holdings"));
    }

    /** Settings of a warm target. */
    static GateSettings warm(int slots) {
        return GateSettings.defaults().withAnnouncedSlots(slots).withInitialLimit(slots);
    }

    Heard submit(int rank, long sunkMillis, long remainingMillis) {
        Heard heard = new Heard(rank);
        long sunk = Duration.ofMillis(sunkMillis).toNanos();
        long remaining = Duration.ofMillis(remainingMillis).toNanos();
        heard.handle = gate.submit(
                new GateRequest(ids.next(), rank, CallerHash.of("caller-" + submitted++, 0), sunk, remaining), heard);
        return heard;
    }

    Heard submit(int rank, int kind, long remainingMillis, boolean covered) {
        Heard heard = new Heard(rank);
        long remaining = Duration.ofMillis(remainingMillis).toNanos();
        int hash = CallerHash.of("caller-" + submitted++, 0);
        heard.handle = gate.submit(new GateRequest(ids.next(), rank, hash, 0, remaining, covered, kind), heard);
        return heard;
    }

    Heard submit(int rank) {
        return submit(rank, 0, 1_000);
    }

    List<Heard> submit(int rank, int count) {
        List<Heard> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(submit(rank));
        }
        return list;
    }

    void pass(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    /** What one listener heard. */
    static final class Heard implements GateListener {
        final int rank;
        GateHandle handle;
        Permit permit;
        Reason reason;
        int calls;
        boolean noted;

        Heard(int rank) {
            this.rank = rank;
        }

        @Override
        public void admitted(Permit given) {
            calls++;
            permit = given;
        }

        @Override
        public void refused(Reason given, long retryAfterMillis) {
            calls++;
            reason = given;
        }

        boolean admitted() {
            return permit != null;
        }

        boolean waits() {
            return calls == 0;
        }

        void succeed() {
            permit.release(Completion.SUCCEEDED);
        }
    }
}
