package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
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
 * Asks third nodes to ping a silent one, and does so for others.
 *
 * <p>A node counts as silent when at least one helper says that it too got no answer. A node that hears nothing at
 * all, from helpers neither, may itself be the one cut off, and would otherwise accuse everyone it probes at once; it
 * gives the target {@link #UNCONFIRMED_LIMIT} probes, since all helpers may as well have failed together. Control
 * thread only.
 */
final class IndirectProber {

    private static final int HELPERS = 3;
    private static final int UNCONFIRMED_LIMIT = 3;

    /** Hears whether the target is silent to others too. */
    @FunctionalInterface
    interface Verdict {

        void silent(boolean confirmed);
    }

    /** A question put to helpers. Control thread only. */
    private static final class Question {
        private final NodeId target;
        private final long askedAt;
        private final Verdict verdict;
        private boolean confirmed;

        Question(NodeId target, long askedAt, boolean confirmed, Verdict verdict) {
            this.target = target;
            this.askedAt = askedAt;
            this.confirmed = confirmed;
            this.verdict = verdict;
        }
    }

    private final MembershipContext context;
    private final Duration patience;
    private final Map<Integer, Question> questions = new LinkedHashMap<>();
    private final Map<NodeId, Integer> unconfirmed = new LinkedHashMap<>();
    private int lastNumber;

    IndirectProber(MembershipContext context) {
        this.context = context;
        // A helper waits for one timeout before it reports silence.
        this.patience = context.settings().probeTimeout().multipliedBy(2);
    }

    /** Asks helpers about the target; the verdict comes once, within two probe timeouts. */
    void probe(NodeId target, Verdict verdict) {
        List<MemberRecord> helpers = chooseHelpers(target);
        lastNumber++;
        // Where there is no third node its silence towards this one has to do.
        questions.put(lastNumber, new Question(target, context.now(), helpers.isEmpty(), verdict));
        MembershipProbeRequest.Builder request =
                MembershipProbeRequest.newBuilder().setNumber(lastNumber).setTarget(target.value());
        for (MemberRecord helper : helpers) {
            context.send(helper.id(), MembershipMessage.newBuilder().setProbeRequest(request));
        }
    }

    /** Pings the target for another node. */
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
        Question question = questions.get(report.getNumber());
        if (question == null) {
            return;
        }
        if (report.getAnswered()) {
            questions.remove(report.getNumber());
            unconfirmed.remove(question.target);
            question.verdict.silent(false);
        } else {
            question.confirmed = true;
        }
    }

    void tick(long now) {
        List<Question> over = new ArrayList<>();
        Iterator<Question> all = questions.values().iterator();
        while (all.hasNext()) {
            Question question = all.next();
            if (now - question.askedAt >= patience.toNanos()) {
                all.remove();
                over.add(question);
            }
        }
        over.forEach(question -> question.verdict.silent(isSilent(question)));
    }

    /** Notes that the target answered this node itself. */
    void onAnswer(NodeId target) {
        unconfirmed.remove(target);
    }

    private boolean isSilent(Question question) {
        int times = question.confirmed ? UNCONFIRMED_LIMIT : unconfirmed.merge(question.target, 1, Integer::sum);
        if (times >= UNCONFIRMED_LIMIT) {
            unconfirmed.remove(question.target);
        }
        return times >= UNCONFIRMED_LIMIT;
    }

    void forgetOpenProbes() {
        questions.clear();
        unconfirmed.clear();
    }

    private void report(NodeId to, int number, boolean answered) {
        MembershipProbeReport.Builder report =
                MembershipProbeReport.newBuilder().setNumber(number).setAnswered(answered);
        context.send(to, MembershipMessage.newBuilder().setProbeReport(report));
    }

    private List<MemberRecord> chooseHelpers(NodeId target) {
        List<MemberRecord> others = new ArrayList<>();
        for (Held held : context.view().members(context.ownCentre())) {
            boolean third = !held.id().equals(context.id()) && !held.id().equals(target);
            if (third && held.record().status() == MemberStatus.ALIVE) {
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
