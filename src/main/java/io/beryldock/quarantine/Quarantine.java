package io.beryldock.quarantine;

import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.QuarantineDelta;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The node's table of requests that crash targets. Thread safe. */
public final class Quarantine {

    private final Map<Fingerprint, Integer> crashes = new HashMap<>();

    private Quarantine() {}

    public static Quarantine create(Ticker ticker, QuarantineSettings settings, EventSink events) {
        return new Quarantine();
    }

    public synchronized Verdict verdict(Fingerprint fingerprint) {
        int count = crashes.getOrDefault(fingerprint, 0);
        return count == 0 ? Verdict.FREE : count == 1 ? Verdict.ALONE : Verdict.REFUSED;
    }

    /** Starts a run at this node's target; false when it may not start now, refused or another suspect running. */
    public synchronized boolean onStarted(Fingerprint fingerprint) {
        return verdict(fingerprint) != Verdict.REFUSED;
    }

    /** A run that was started here ended with the target's answer. */
    public synchronized void onCompleted(Fingerprint fingerprint) {
        crashes.remove(fingerprint, 1);
    }

    /** A run that was started here ended without an answer and without a crash. */
    public synchronized void onAbandoned(Fingerprint fingerprint) {}

    /** This node's target crashed. */
    public synchronized void onTargetCrashed(Collection<Fingerprint> inFlight) {
        inFlight.forEach(fingerprint -> crashes.merge(fingerprint, 1, Integer::sum));
    }

    /** The connection to a node was lost while the call was in flight there. */
    public synchronized void onNodeLost(Fingerprint fingerprint, NodeDescriptor node) {
        crashes.merge(fingerprint, 1, Integer::sum);
    }

    /** The node is known to have failed. */
    public synchronized void onNodeFailed(NodeDescriptor node) {}

    /** The same start of the node answered again: it had not crashed. */
    public synchronized void onNodeAnswered(NodeDescriptor node) {}

    /** The whole table, for a peer that may have missed changes. */
    public synchronized QuarantineDelta export() {
        return QuarantineDelta.getDefaultInstance();
    }

    /** What changed since the last call of this method, for all peers; empty when nothing did. */
    public synchronized QuarantineDelta takeChanges() {
        return QuarantineDelta.getDefaultInstance();
    }

    public synchronized void merge(QuarantineDelta delta) {}
}
