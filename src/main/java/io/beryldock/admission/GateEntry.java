package io.beryldock.admission;

import io.beryldock.call.Reason;
import java.util.Comparator;

/**
 * One submitted request inside a gate, from its arrival to its end; the handle and the permit that are given out.
 *
 * <p>Invariant: QUEUED to RUNNING to ABANDONED to ENDED, never backwards; a refused entry goes from QUEUED to ENDED.
 * The state is guarded by the gate's lock; the rest is immutable.
 */
final class GateEntry implements GateHandle, Permit {

    /**
     * More important first: rank, then those covered by credits, then more work sunk, then less slack, then the
     * earlier.
     *
     * <p>Slack is measured when a request comes, so that the order of two requests never changes.
     */
    static final Comparator<GateEntry> BY_IMPORTANCE = GateEntry::compareImportance;

    private static final long SUNK_STEP_NANOS = 1_000_000;

    private final TargetGate gate;
    private final GateRequest request;
    private final GateListener listener;
    private final long arrivedAt;
    private final long deadline;
    private final long order;
    private int kind = RequestKind.NONE;
    private long latestStart;
    private boolean probe;
    private State state = State.QUEUED;
    private long admittedAt;
    private Reason refusal;
    private long retryAfterMillis;

    GateEntry(TargetGate gate, GateRequest request, GateListener listener, long now, long order) {
        this.gate = gate;
        this.request = request;
        this.listener = listener;
        this.arrivedAt = now;
        this.deadline = now + request.remainingNanos();
        this.latestStart = deadline;
        this.order = order;
    }

    /** Where the request stands. */
    enum State {
        QUEUED,
        RUNNING,
        ABANDONED,
        ENDED
    }

    @Override
    public void cancel() {
        gate.cancel(this);
    }

    @Override
    public void release(Completion completion) {
        gate.release(this, completion);
    }

    GateRequest request() {
        return request;
    }

    State state() {
        return state;
    }

    boolean holdsSlot() {
        return state == State.RUNNING || state == State.ABANDONED;
    }

    /** Takes what is known of its kind when it comes, before it is queued. */
    void learnKind(ServiceTimes times, long now) {
        kind = request.kind();
        latestStart = deadline - times.aboveMean(kind);
        probe = !fitsItsTime(times, now) && times.takeProbe(kind, now);
    }

    /** The kind by which its time is told; none where kinds are not told apart. */
    int kind() {
        return kind;
    }

    /** Whether it can finish when it starts now. */
    boolean fitsItsTime(ServiceTimes times, long now) {
        double expected = probe ? 0 : times.expected(kind, now);
        return remainingNanos(now) > expected;
    }

    long waitedNanos(long now) {
        return now - arrivedAt;
    }

    long remainingNanos(long now) {
        return deadline - now;
    }

    long runNanos(long now) {
        return now - admittedAt;
    }

    void admit(long now) {
        state = State.RUNNING;
        admittedAt = now;
    }

    void abandon() {
        state = State.ABANDONED;
    }

    void end() {
        state = State.ENDED;
    }

    void refuse(Reason reason, long retryAfter) {
        state = State.ENDED;
        refusal = reason;
        retryAfterMillis = retryAfter;
    }

    /** Tells the listener what was decided; called once, by the thread that decided. */
    void tellDecision() {
        if (refusal == null) {
            listener.admitted(this);
        } else {
            listener.refused(refusal, retryAfterMillis);
        }
    }

    private static int compareImportance(GateEntry a, GateEntry b) {
        int byRank = Integer.compare(a.request.rank(), b.request.rank());
        if (byRank != 0) {
            return byRank;
        }
        int byCover = Boolean.compare(b.request.covered(), a.request.covered());
        if (byCover != 0) {
            return byCover;
        }
        int bySunk = Long.compare(b.request.sunkNanos() / SUNK_STEP_NANOS, a.request.sunkNanos() / SUNK_STEP_NANOS);
        if (bySunk != 0) {
            return bySunk;
        }
        int bySlack = Long.compare(a.latestStart - b.latestStart, 0);
        return bySlack != 0 ? bySlack : Long.compare(a.order, b.order);
    }
}
