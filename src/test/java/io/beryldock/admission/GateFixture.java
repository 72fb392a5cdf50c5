package io.beryldock.admission;

import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A gate on simulated time that fails the test when an invariant is violated, and listeners that record their calls.
 */
final class GateFixture {

    static final EventSink FAIL_ON_VIOLATION = (kind, request, subject, detail) -> {
        if (kind == EventKind.INVARIANT_BROKEN) {
            throw new AssertionError(detail);
        }
    };

    final ManualTimerService timers = ManualTimerService.create();
    final TargetGate gate;
    private int submitted;
    private final RequestIds ids = RequestIds.of(Incarnation.random(new Random(1)));

    GateFixture(GateSettings settings) {
        gate = TargetGate.create(settings, timers, new Random(2), FAIL_ON_VIOLATION, ServiceName.of("holdings"));
    }

    static RequestId requestId(int order) {
        return new RequestId(new Incarnation(1, 1), order);
    }

    /** Returns settings of a warm target, whose limit equals its slots. */
    static GateSettings warm(int slots) {
        return GateSettings.defaults().withAnnouncedSlots(slots).withInitialLimit(slots);
    }

    RecordingListener submit(int rank, long sunkMillis, long remainingMillis) {
        RecordingListener listener = new RecordingListener(rank);
        long sunk = Duration.ofMillis(sunkMillis).toNanos();
        long remaining = Duration.ofMillis(remainingMillis).toNanos();
        listener.handle = gate.submit(
                new GateRequest(ids.next(), rank, CallerHash.of("caller-" + submitted++, 0), sunk, remaining),
                listener);
        return listener;
    }

    RecordingListener submit(int rank, int kind, long remainingMillis, boolean covered) {
        RecordingListener listener = new RecordingListener(rank);
        long remaining = Duration.ofMillis(remainingMillis).toNanos();
        int hash = CallerHash.of("caller-" + submitted++, 0);
        listener.handle = gate.submit(new GateRequest(ids.next(), rank, hash, 0, remaining, covered, kind), listener);
        return listener;
    }

    RecordingListener submit(int rank) {
        return submit(rank, 0, 1_000);
    }

    List<RecordingListener> submit(int rank, int count) {
        List<RecordingListener> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(submit(rank));
        }
        return list;
    }

    void advance(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    /** Records the calls of one gate listener. */
    static final class RecordingListener implements GateListener {
        final int rank;
        GateHandle handle;
        Permit permit;
        Reason reason;
        int calls;
        boolean collected;

        RecordingListener(int rank) {
            this.rank = rank;
        }

        @Override
        public void admitted(Permit granted) {
            calls++;
            permit = granted;
        }

        @Override
        public void refused(Reason refusal, long retryAfterMillis) {
            calls++;
            reason = refusal;
        }

        boolean admitted() {
            return permit != null;
        }

        boolean isWaiting() {
            return calls == 0;
        }

        void succeed() {
            permit.release(Completion.SUCCEEDED);
        }
    }
}
