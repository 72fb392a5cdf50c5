package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import io.beryldock.wire.MembershipMessage;
import io.beryldock.wire.MembershipProbeReport;
import io.beryldock.wire.MembershipProbeRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Probes an unresponsive node through other nodes of the data centre (helpers), and serves such requests of other
 * nodes.
 *
 * <p>A node is considered unresponsive when at least one helper reports that it received no answer either. A node that
 * receives no answers at all, not even from helpers, may itself be disconnected and would otherwise suspect every node
 * that it probes. It therefore requires {@link #MAX_UNCONFIRMED_FAILURES} failed probes of a target without
 * confirmation; a limit is needed because all helpers may have failed at the same time as the target. Confined to the
 * control thread.
 */
final class IndirectProber {

    private static final int HELPERS = 3;
    private static final int MAX_UNCONFIRMED_FAILURES = 3;

    /** Receives the result of an indirect probe. */
    @FunctionalInterface
    interface ResultListener {

        void onResult(boolean unresponsive);
    }

    /** An indirect probe in progress. Confined to the control thread. */
    private static final class IndirectProbe {
        private final NodeId target;
        private final long startedAt;
        private final ResultListener listener;
        private boolean confirmed;

        IndirectProbe(NodeId target, long startedAt, boolean confirmed, ResultListener listener) {
            this.target = target;
            this.startedAt = startedAt;
            this.confirmed = confirmed;
            this.listener = listener;
        }
    }

    private final MembershipContext context;
    private final Duration timeout;
    private final Map<Integer, IndirectProbe> pending = new LinkedHashMap<>();
    private final Map<NodeId, Integer> unconfirmedFailures = new LinkedHashMap<>();
    private int lastNumber;

    IndirectProber(MembershipContext context) {
        this.context = context;
        // A helper waits for one probe timeout before it reports that the target did not answer.
        this.timeout = context.settings().probeTimeout().multipliedBy(2);
    }

    /** Probes the target through helpers; the listener is called once, within two probe timeouts. */
    void probe(NodeId target, ResultListener listener) {
        List<MemberRecord> helpers = chooseHelpers(target);
        lastNumber++;
        // When no helper exists, the failed direct probe is sufficient.
        pending.put(lastNumber, new IndirectProbe(target, context.now(), helpers.isEmpty(), listener));
        MembershipProbeRequest.Builder request =
                MembershipProbeRequest.newBuilder().setNumber(lastNumber).setTarget(target.value());
        for (MemberRecord helper : helpers) {
            context.send(helper.id(), MembershipMessage.newBuilder().setProbeRequest(request));
        }
    }

    /** Probes the target on behalf of another node and reports the result to that node. */
    void onRequest(NodeId from, MembershipProbeRequest request) {
        Prober.ProbeListener listener = new Prober.ProbeListener() {
            @Override
            public void answered(NodeId by) {
                report(from, request.getNumber(), true);
            }

            @Override
            public void unanswered() {
                report(from, request.getNumber(), false);
            }
        };
        context.view()
                .find(NodeId.of(request.getTarget()))
                .ifPresent(target -> context.prober().probe(target, listener));
    }

    void onReport(MembershipProbeReport report) {
        IndirectProbe probe = pending.get(report.getNumber());
        if (probe == null) {
            return;
        }
        if (report.getAnswered()) {
            pending.remove(report.getNumber());
            unconfirmedFailures.remove(probe.target);
            probe.listener.onResult(false);
        } else {
            probe.confirmed = true;
        }
    }

    void tick(long now) {
        List<IndirectProbe> expired = new ArrayList<>();
        Iterator<IndirectProbe> all = pending.values().iterator();
        while (all.hasNext()) {
            IndirectProbe probe = all.next();
            if (now - probe.startedAt >= timeout.toNanos()) {
                all.remove();
                expired.add(probe);
            }
        }
        expired.forEach(probe -> probe.listener.onResult(isUnresponsive(probe)));
    }

    /** Resets the count of unconfirmed failures of a target that answered this node directly. */
    void onAnswer(NodeId target) {
        unconfirmedFailures.remove(target);
    }

    private boolean isUnresponsive(IndirectProbe probe) {
        int failures =
                probe.confirmed ? MAX_UNCONFIRMED_FAILURES : unconfirmedFailures.merge(probe.target, 1, Integer::sum);
        if (failures >= MAX_UNCONFIRMED_FAILURES) {
            unconfirmedFailures.remove(probe.target);
        }
        return failures >= MAX_UNCONFIRMED_FAILURES;
    }

    void discardOpenProbes() {
        pending.clear();
        unconfirmedFailures.clear();
    }

    private void report(NodeId to, int number, boolean answered) {
        MembershipProbeReport.Builder report =
                MembershipProbeReport.newBuilder().setNumber(number).setAnswered(answered);
        context.send(to, MembershipMessage.newBuilder().setProbeReport(report));
    }

    private List<MemberRecord> chooseHelpers(NodeId target) {
        List<MemberRecord> others = new ArrayList<>();
        for (HeldRecord held : context.view().members(context.ownCentre())) {
            boolean eligible = !held.id().equals(context.id()) && !held.id().equals(target);
            if (eligible && held.record().status() == MemberStatus.ALIVE) {
                others.add(held.record());
            }
        }
        List<MemberRecord> chosen = new ArrayList<>();
        while (chosen.size() < HELPERS && !others.isEmpty()) {
            chosen.add(others.remove(context.random().nextInt(others.size())));
        }
        return chosen;
    }
}
