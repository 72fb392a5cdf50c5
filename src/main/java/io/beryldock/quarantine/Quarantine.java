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
 * <p>Guards against a request that crashes each target that runs it and is sent again by its caller: the targets of a
 * service go down one after the other. What was in flight at a crash is suspect and runs while no other suspect does at
 * the same target; if that target crashes too, the request is refused everywhere. As the second crash counts only for a
 * run that began as a suspect, a popular request that was in flight at two targets lost at once is not refused: it runs
 * once more, completes and is free.
 *
 * <p>Nodes exchange deltas; merging is commutative and idempotent, and the times in them are durations. A suspect is
 * known by its fingerprint, so equal requests share one state. Invariant: at most one suspect runs at this node's
 * target. Thread safe; while nobody is suspect each check is one read.
 */
public final class Quarantine {

    /** The number of a node's own loss; its target's crashes count from 1. */
    private static final long NODE_LOSS = 0;

    /** The number of a crash that the node told with the result of a call, whose own number is not known yet. */
    private static final long TOLD_CRASH = -1;

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

    /** Whether the request may run; changes nothing. */
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
     * @return false when it may not start now: it is refused, or another suspect runs here
     */
    public boolean onStarted(Fingerprint fingerprint) {
        return start(fingerprint, false) != Verdict.REFUSED;
    }

    /**
     * Starts a run at this node's target.
     *
     * @param toldSuspect whether the sender holds the request for a suspect; its news may come before that of the crash
     * @return FREE or ALONE when it starts, ALONE as the one suspect here; REFUSED when it may not start now, as it is
     *     refused or another suspect runs here
     */
    public Verdict start(Fingerprint fingerprint, boolean toldSuspect) {
        if (idle && !toldSuspect) {
            return Verdict.FREE;
        }
        synchronized (this) {
            Verdict verdict = table.verdict(fingerprint, ticker.nanos());
            if (verdict == Verdict.FREE && !toldSuspect) {
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

    /** A run that was started here ended with the target's answer, whatever its status: the request is harmless. */
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

    /** A run that was started here was lost, and its target has not crashed. */
    public void onAbandoned(LostRun run) {
        if (run.suspect()) {
            onAbandoned(run.request());
        }
    }

    /** A run that was started here ended without an answer, and its target has not crashed. */
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

    /** Cleared entries are kept and spread, and must not slow down the check of each call. */
    private void updateIdle(long now) {
        idle = runningSuspect == null && !table.hasLive(now);
    }

    /** As {@link #onTargetEnded} for requests of which one may run as the suspect here. */
    public synchronized void onTargetCrashed(Collection<Fingerprint> inFlight) {
        onTargetEnded(inFlight.stream()
                .map(request -> new LostRun(request, request.equals(runningSuspect)))
                .toList());
    }

    /**
     * This node's target crashed with these runs in flight; the request of a suspect's run is refused from now on.
     *
     * @return the news of it for other nodes
     */
    public QuarantineDelta onTargetEnded(Collection<LostRun> inFlight) {
        return onTargetLost(inFlight, true);
    }

    /**
     * This node's target may have crashed with these runs in flight, and listens again.
     *
     * <p>Their requests are held for suspects, and refused where they ran as such, for the short time of what is not
     * confirmed.
     */
    public QuarantineDelta onTargetDoubtful(Collection<LostRun> inFlight) {
        return onTargetLost(inFlight, false);
    }

    private synchronized QuarantineDelta onTargetLost(Collection<LostRun> inFlight, boolean confirmed) {
        long now = ticker.nanos();
        long crash = crashName(self, ++crashCounter);
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

    /** As {@link #onNodeLost(Fingerprint, NodeDescriptor, boolean)} for a call that was not sent as a suspect. */
    public void onNodeLost(Fingerprint fingerprint, NodeDescriptor node) {
        onNodeLost(fingerprint, node, false);
    }

    /**
     * The connection to a node was lost while the call was in flight there; the request may have taken the VM down.
     *
     * <p>The suspicion is short unless {@link #onNodeFailed} confirms it. Losses of several nodes at once have a cause
     * that the nodes share, such as their rack: they make no request suspect.
     *
     * @param sentAsSuspect whether the verdict was ALONE when the call was sent
     */
    public synchronized void onNodeLost(Fingerprint fingerprint, NodeDescriptor node, boolean sentAsSuspect) {
        long now = ticker.nanos();
        long crash = crashName(node, NODE_LOSS);
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

    /** The node is known to have failed: what was suspected for its loss stays so for the whole time. */
    public synchronized void onNodeFailed(NodeDescriptor node) {
        long now = ticker.nanos();
        long crash = crashName(node, NODE_LOSS);
        long expires = now + settings.length().toNanos();
        for (QuarantineTable.Row row :
                table.rows(r -> r.key().crash() == crash && r.evidence().isLive(now))) {
            boolean ranAlone = row.evidence().ranAlone();
            table.merge(row.key(), new CrashEvidence(ranAlone, true, false, expires));
        }
    }

    /** The same start of the node answered again: it had not crashed. */
    public void onNodeAnswered(NodeDescriptor node) {
        if (idle) {
            return;
        }
        long crash = crashName(node, NODE_LOSS);
        synchronized (this) {
            long now = ticker.nanos();
            if (table.knowsCrash(crash)) {
                table.clear(row -> row.key().crash() == crash, now);
                updateIdle(now);
            }
        }
    }

    /**
     * Another node told with a call's result that its target crashed while it ran the call.
     *
     * <p>Its own news of the crash follows and lasts longer; until then the caller may send the request again.
     *
     * @param sentAsSuspect whether the verdict was ALONE when the call was sent
     */
    public synchronized void onTargetCrashTold(Fingerprint fingerprint, NodeDescriptor node, boolean sentAsSuspect) {
        if (node.equals(self)) {
            return;
        }
        long now = ticker.nanos();
        long expires = now + settings.unconfirmedLength().toNanos();
        CrashEvidence evidence = new CrashEvidence(sentAsSuspect, false, false, expires);
        add(fingerprint, crashName(node, TOLD_CRASH), evidence, now);
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

    /** Equal at all nodes that tell of the crash; {@code number} counts a node's crashes of its target. */
    private static long crashName(NodeDescriptor node, long number) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(node.id().value(), StandardCharsets.UTF_8)
                .putLong(node.incarnation().high())
                .putLong(node.incarnation().low())
                .putLong(number)
                .hash()
                .asLong();
    }

    /** An operator frees the request, whatever it did; returns whether there was anything to free. */
    public synchronized boolean release(String fingerprint) {
        int cleared = table.clear(row -> row.key().fingerprint().toString().equals(fingerprint), ticker.nanos());
        if (cleared > 0) {
            events.record(EventKind.REQUEST_RELEASED, fingerprint, "by an operator");
        }
        updateIdle(ticker.nanos());
        return cleared > 0;
    }

    /** The whole table, for a peer that may have missed changes. */
    public synchronized QuarantineDelta export() {
        long now = ticker.nanos();
        return QuarantineCodec.encode(table.rows(row -> now < row.evidence().expiresNanos()), now);
    }

    /**
     * Sets what is run at the first change after each {@link #takeChanges()}.
     *
     * <p>It is run under this object's lock and must neither block nor call back.
     */
    public void onFirstChange(Runnable listener) {
        changeListener = listener;
    }

    /** What changed since the last call of this method, for the peers of its services; empty when nothing did. */
    public synchronized QuarantineDelta takeChanges() {
        return QuarantineCodec.encode(table.takeChanged(), ticker.nanos());
    }

    /**
     * Takes what another node told.
     *
     * @throws IllegalArgumentException when an entry is malformed; then none is taken
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

    /** Forgets what has expired; called every few seconds by a timer. */
    public synchronized void expire() {
        long now = ticker.nanos();
        table.expire(now);
        updateIdle(now);
    }

    /** Requests that do not run freely, quarantined ones first. */
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
