package io.beryldock.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.QuarantineDelta;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The node's table of requests that crash targets.
 *
 * <p>Guards against a request that crashes each target that runs it and is resent by its caller, so that the targets of
 * a service fail one after the other. A request in flight at a crash becomes a suspect, which runs only while no other
 * suspect runs at the same target; if that target crashes too, the request is refused at every node. The second crash
 * counts only for a run that began as a suspect's. A popular request that was in flight at two targets lost at the same
 * time is therefore not refused: it runs once more, completes and is cleared.
 *
 * <p>Nodes exchange deltas; merging is commutative and idempotent, and the times in deltas are durations. A suspect is
 * identified by its fingerprint, so equal requests share one state. Invariant: at most one suspect runs at this node's
 * target. Thread safe; while there are no suspects, each check is one volatile read.
 */
public final class Quarantine {

    /** Crash number of the loss of a node itself; the crashes of its target are numbered from 1. */
    private static final long NODE_LOSS = 0;

    /** Crash number of a crash that a node reported with a call's result; the node's number of it is not known yet. */
    private static final long REPORTED_CRASH = -1;

    private final NodeDescriptor self;
    private final Ticker ticker;
    private final QuarantineSettings settings;
    private final EventSink events;
    private final QuarantineTable table;
    private final NodeLosses losses;
    private volatile boolean idle = true;
    private volatile Runnable changeListener = () -> {};
    private Fingerprint runningSuspect;
    private long crashCounter;

    private Quarantine(NodeDescriptor self, Ticker ticker, QuarantineSettings settings, EventSink events) {
        this.self = self;
        this.ticker = ticker;
        this.settings = settings;
        this.events = events;
        this.table = new QuarantineTable(settings.maxEntries(), () -> changeListener.run());
        this.losses = new NodeLosses(settings.massWindow().toNanos(), settings.massLoss());
    }

    public static Quarantine create(NodeDescriptor self, Ticker ticker, QuarantineSettings settings, EventSink events) {
        return new Quarantine(self, ticker, settings, events);
    }

    /** Returns whether the request may run; changes no state. */
    public Verdict verdict(Fingerprint fingerprint) {
        if (idle) {
            return Verdict.FREE;
        }
        synchronized (this) {
            return table.verdict(fingerprint, ticker.nanos());
        }
    }

    /**
     * Starts a run at this node's target.
     *
     * @return false when the run may not start now: the request is refused, or another suspect runs here
     */
    public boolean onStarted(Fingerprint fingerprint) {
        return start(fingerprint, false) != Verdict.REFUSED;
    }

    /**
     * Starts a run at this node's target.
     *
     * @param sentAsSuspect whether the sender knows the request as a suspect; the call may arrive before the delta that
     *     reports the crash
     * @return FREE or ALONE when the run starts, ALONE as the only suspect here; REFUSED when the run may not start
     *     now, because the request is refused or another suspect runs here
     */
    public Verdict start(Fingerprint fingerprint, boolean sentAsSuspect) {
        if (idle && !sentAsSuspect) {
            return Verdict.FREE;
        }
        synchronized (this) {
            Verdict verdict = table.verdict(fingerprint, ticker.nanos());
            if (verdict == Verdict.FREE && !sentAsSuspect) {
                return Verdict.FREE;
            }
            if (verdict == Verdict.REFUSED || runningSuspect != null) {
                return Verdict.REFUSED;
            }
            runningSuspect = fingerprint.detached();
            idle = false;
            return Verdict.ALONE;
        }
    }

    /** Ends a run at this node's target that got an answer. Whatever the answer's status, the request is harmless. */
    public void onCompleted(Fingerprint fingerprint) {
        if (idle) {
            return;
        }
        synchronized (this) {
            endRun(fingerprint);
            long now = ticker.nanos();
            if (table.verdict(fingerprint, now) == Verdict.ALONE) {
                table.clear(fingerprint, now);
                updateIdle(now);
                events.record(EventKind.REQUEST_RELEASED, fingerprint.toString(), "completed: " + fingerprint.label());
            }
        }
    }

    /** Ends a run at this node's target that was lost although the target has not crashed. */
    public void onAbandoned(LostRun run) {
        if (run.suspect()) {
            onAbandoned(run.request());
        }
    }

    /** Ends a run at this node's target that got no answer although the target has not crashed. */
    public void onAbandoned(Fingerprint fingerprint) {
        if (idle) {
            return;
        }
        synchronized (this) {
            endRun(fingerprint);
        }
    }

    private void endRun(Fingerprint fingerprint) {
        if (fingerprint.equals(runningSuspect)) {
            runningSuspect = null;
            updateIdle(ticker.nanos());
        }
    }

    /** Ignores cleared entries, which are kept and spread but must not slow down the check of each call. */
    private void updateIdle(long now) {
        idle = runningSuspect == null && !table.hasLive(now);
    }

    /** Does the same as {@link #onTargetEnded} for requests of which one may be running as the suspect here. */
    public synchronized void onTargetCrashed(Collection<Fingerprint> inFlight) {
        onTargetEnded(inFlight.stream()
                .map(request -> new LostRun(request, request.equals(runningSuspect)))
                .toList());
    }

    /**
     * Records that this node's target crashed with these runs in flight. The request of a suspect's run is refused from
     * now on.
     *
     * @return the delta of the crash for other nodes
     */
    public QuarantineDelta onTargetEnded(Collection<LostRun> inFlight) {
        return onTargetLost(inFlight, true);
    }

    /**
     * Records that this node's target may have crashed with these runs in flight, and listens again.
     *
     * <p>Their requests become suspects, or are refused if they ran as suspects, for the short duration of unconfirmed
     * entries.
     *
     * @return the delta of the possible crash for other nodes
     */
    public QuarantineDelta onTargetMaybeEnded(Collection<LostRun> inFlight) {
        return onTargetLost(inFlight, false);
    }

    private synchronized QuarantineDelta onTargetLost(Collection<LostRun> inFlight, boolean confirmed) {
        long now = ticker.nanos();
        long crash = crashId(self, ++crashCounter);
        Duration length = confirmed ? settings.length() : settings.unconfirmedLength();
        long expires = now + length.toNanos();
        for (LostRun run : inFlight) {
            add(run.request(), crash, new CrashEvidence(run.suspect(), confirmed, false, expires), now);
            if (run.suspect()) {
                endRun(run.request());
            }
        }
        updateIdle(now);
        return QuarantineCodec.encode(table.rows(row -> row.key().crash() == crash), now);
    }

    /** Does the same as {@link #onNodeLost(Fingerprint, NodeDescriptor, boolean)} for a call not sent as a suspect. */
    public void onNodeLost(Fingerprint fingerprint, NodeDescriptor node) {
        onNodeLost(fingerprint, node, false);
    }

    /**
     * Records that the connection to a node was lost while the call was in flight there; the request may have crashed
     * the VM.
     *
     * <p>The suspicion is short unless {@link #onNodeFailed} confirms it. Losses of several nodes at once have a shared
     * cause, such as a rack failure, and make no request a suspect.
     *
     * @param sentAsSuspect whether the verdict was ALONE when the call was sent
     */
    public synchronized void onNodeLost(Fingerprint fingerprint, NodeDescriptor node, boolean sentAsSuspect) {
        long now = ticker.nanos();
        long crash = crashId(node, NODE_LOSS);
        losses.onLost(crash, now);
        if (losses.isMassLoss()) {
            Set<Long> crashes = losses.crashes();
            table.clear(row -> crashes.contains(row.key().crash()), now);
            updateIdle(now);
            return;
        }
        long expires = now + settings.unconfirmedLength().toNanos();
        add(fingerprint, crash, new CrashEvidence(sentAsSuspect, false, false, expires), now);
        updateIdle(now);
    }

    /** Records that the node has failed: suspicions that stem from its loss now last for the full duration. */
    public synchronized void onNodeFailed(NodeDescriptor node) {
        long now = ticker.nanos();
        long crash = crashId(node, NODE_LOSS);
        long expires = now + settings.length().toNanos();
        for (QuarantineTable.Row row :
                table.rows(r -> r.key().crash() == crash && r.evidence().isLive(now))) {
            boolean ranAlone = row.evidence().ranAlone();
            table.merge(row.key(), new CrashEvidence(ranAlone, true, false, expires));
        }
    }

    /** Records that the same incarnation of the node answered again, so it had not crashed. */
    public void onNodeAnswered(NodeDescriptor node) {
        if (idle) {
            return;
        }
        long crash = crashId(node, NODE_LOSS);
        synchronized (this) {
            long now = ticker.nanos();
            if (table.knowsCrash(crash)) {
                table.clear(row -> row.key().crash() == crash, now);
                updateIdle(now);
            }
        }
    }

    /**
     * Records that another node reported, with a call's result, a crash of its target while the target ran the call.
     *
     * <p>That node's own delta of the crash follows and lasts longer; before it arrives, the caller may resend the
     * request.
     *
     * @param sentAsSuspect whether the verdict was ALONE when the call was sent
     */
    public synchronized void onTargetCrashReported(
            Fingerprint fingerprint, NodeDescriptor node, boolean sentAsSuspect) {
        if (node.equals(self)) {
            return;
        }
        long now = ticker.nanos();
        long expires = now + settings.unconfirmedLength().toNanos();
        CrashEvidence evidence = new CrashEvidence(sentAsSuspect, false, false, expires);
        add(fingerprint, crashId(node, REPORTED_CRASH), evidence, now);
        updateIdle(now);
    }

    private void add(Fingerprint fingerprint, long crash, CrashEvidence evidence, long now) {
        Verdict before = table.verdict(fingerprint, now);
        table.merge(new QuarantineTable.Key(fingerprint, crash), evidence);
        Verdict after = table.verdict(fingerprint, now);
        if (after != before) {
            EventKind kind = after == Verdict.REFUSED ? EventKind.REQUEST_QUARANTINED : EventKind.REQUEST_SUSPECTED;
            events.record(kind, fingerprint.toString(), fingerprint.service() + " " + fingerprint.label());
        }
    }

    /** Returns the id of a crash, equal at all nodes; {@code number} counts the crashes of the node's target. */
    private static long crashId(NodeDescriptor node, long number) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(node.id().value(), StandardCharsets.UTF_8)
                .putLong(node.incarnation().high())
                .putLong(node.incarnation().low())
                .putLong(number)
                .hash()
                .asLong();
    }

    /** Clears the live entries of the request on behalf of an operator; returns whether there were any. */
    public synchronized boolean release(String fingerprint) {
        int cleared = table.clear(row -> row.key().fingerprint().toString().equals(fingerprint), ticker.nanos());
        if (cleared > 0) {
            events.record(EventKind.REQUEST_RELEASED, fingerprint, "by an operator");
        }
        updateIdle(ticker.nanos());
        return cleared > 0;
    }

    /** Returns the whole table, for a peer that may have missed changes. */
    public synchronized QuarantineDelta export() {
        long now = ticker.nanos();
        return QuarantineCodec.encode(table.rows(row -> now < row.evidence().expiresNanos()), now);
    }

    /**
     * Sets the listener that runs at the first change after each {@link #takeChanges()}.
     *
     * <p>It runs under this object's lock and must neither block nor call this object.
     */
    public void onFirstChange(Runnable listener) {
        changeListener = listener;
    }

    /** Returns the changes since the last call, for the peers of their services; empty when there are none. */
    public synchronized QuarantineDelta takeChanges() {
        return QuarantineCodec.encode(table.takeChanged(), ticker.nanos());
    }

    /**
     * Merges the delta of another node.
     *
     * @throws IllegalArgumentException when an entry is malformed; then no entry is merged
     */
    public synchronized void merge(QuarantineDelta delta) {
        long now = ticker.nanos();
        List<QuarantineTable.Row> rows = delta.getEntriesList().stream()
                .map(entry -> QuarantineCodec.decode(entry, settings.length(), now))
                .filter(row -> row.evidence().expiresNanos() > now)
                .toList();
        rows.forEach(row -> table.merge(row.key(), row.evidence()));
        updateIdle(now);
    }

    /** Removes expired entries; called every few seconds by a timer. */
    public synchronized void expire() {
        long now = ticker.nanos();
        table.expire(now);
        updateIdle(now);
    }

    /** Returns the requests that do not run freely, refused ones first. */
    public synchronized ImmutableList<QuarantinedRequest> snapshot() {
        long now = ticker.nanos();
        Map<Fingerprint, Integer> crashes = new HashMap<>();
        Map<Fingerprint, Long> ends = new HashMap<>();
        for (QuarantineTable.Row row : table.rows(r -> r.evidence().isLive(now))) {
            crashes.merge(row.key().fingerprint(), 1, Integer::sum);
            ends.merge(row.key().fingerprint(), row.evidence().expiresNanos(), Math::max);
        }
        return crashes.keySet().stream()
                .map(fingerprint -> new QuarantinedRequest(
                        fingerprint,
                        table.verdict(fingerprint, now),
                        crashes.get(fingerprint),
                        Duration.ofNanos(ends.get(fingerprint) - now)))
                .sorted(Comparator.comparing(QuarantinedRequest::verdict)
                        .reversed()
                        .thenComparing(request -> request.fingerprint().toString()))
                .collect(ImmutableList.toImmutableList());
    }
}
