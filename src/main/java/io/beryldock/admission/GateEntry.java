package io.beryldock.admission;

import io.beryldock.call.Reason;
import java.util.Comparator;

/**
 * A submitted request within a gate, from its arrival to its end. It serves as the handle and as the permit that
 * callers receive.
 *
 * <p>Invariant: the state moves from QUEUED to RUNNING to ABANDONED to ENDED, may skip ABANDONED and never moves back;
 * a refused entry moves from QUEUED to ENDED. The state is guarded by the gate's lock. What {@link #applyKind} sets
 * does not change once the entry is queued, and the rest is immutable.
 */
final class GateEntry implements GateHandle, Permit {

    /**
     * Orders the most important entry first: by rank, then entries covered by credits, then more work already spent,
     * then less slack, then earlier arrival.
     *
     * <p>Slack is computed on arrival, so that the order of two entries never changes.
     */
    static final Comparator<GateEntry> BY_IMPORTANCE = GateEntry::compareImportance;

    private static final long SUNK_RESOLUTION_NANOS = 1_000_000;

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

    /** State of a request within the gate. */
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

    /** Applies the known service time of the request's kind. Called on arrival, before the request is queued. */
    void applyKind(ServiceTimes times, long now) {
        kind = request.kind();
        latestStart = deadline - times.aboveMean(kind);
        probe = !fitsDeadline(times, now) && times.takeProbe(kind, now);
    }

    /**
     * The kind that determines the expected service time, or {@link RequestKind#NONE} where kinds are not
     * distinguished.
     */
    int kind() {
        return kind;
    }

    /** Whether the request can finish before its deadline if it starts now. */
    boolean fitsDeadline(ServiceTimes times, long now) {
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

    /** Notifies the listener of the decision; called exactly once, by the thread that made the decision. */
    void notifyListener() {
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
        int bySunk = Long.compare(
                b.request.sunkNanos() / SUNK_RESOLUTION_NANOS, a.request.sunkNanos() / SUNK_RESOLUTION_NANOS);
        if (bySunk != 0) {
            return bySunk;
        }
        int bySlack = Long.compare(a.latestStart - b.latestStart, 0);
        return bySlack != 0 ? bySlack : Long.compare(a.order, b.order);
    }
}
