package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * This node's links to other data centres, if it is chosen for any.
 *
 * <p>For each other data centre the two members with the highest rendezvous weight for it are its links, so the links
 * to many data centres are shared out over many nodes. A link probes the node over there that is chosen likewise, or,
 * when that is silent, the next one. Control thread only.
 */
final class CentreLinks {

    static final int LINKS = 2;

    /** A data centre none of whose nodes has answered for so long is reported as unreachable. */
    static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(5);

    private static final int MIN_FAILURES = 3;
    private static final int MAX_CANDIDATES = 8;
    private static final Duration RETRY = Duration.ofMillis(500);

    /** The state of one link. Control thread only. */
    private static final class Link {
        private final int rank;
        private int offset;
        private int failures;
        private long lastAnswer;
        private long nextProbe;
        private Optional<NodeId> peer = Optional.empty();

        Link(int rank, long now) {
            this.rank = rank;
            this.lastAnswer = now;
            this.nextProbe = now;
        }
    }

    private final MembershipContext context;
    private final LinkReports reports;
    private final Predicate<Held> answers;
    private final Map<DataCentre, Link> links = new LinkedHashMap<>();
    private boolean changed = true;

    /** Makes the links; {@code answers} tells which members of this data centre can be links. */
    CentreLinks(MembershipContext context, LinkReports reports, Predicate<Held> answers) {
        this.context = context;
        this.reports = reports;
        this.answers = answers;
    }

    /** Notes that members or data centres have changed, so that the links have to be chosen anew. */
    void onChange() {
        changed = true;
    }

    /** The data centres to which this node is a link. */
    Set<DataCentre> centres() {
        return links.keySet();
    }

    void tick(long now) {
        if (changed) {
            changed = false;
            choose(now);
        }
        links.forEach((centre, link) -> {
            if (link.nextProbe <= now) {
                probe(centre, link, now);
            }
        });
    }

    /** After a pause of this node: what it did not hear meanwhile says nothing of others. */
    void restartClocks(long now) {
        links.values().forEach(link -> {
            link.lastAnswer = now;
            link.failures = 0;
        });
    }

    private void choose(long now) {
        List<Held> own = members(context.ownCentre());
        own.removeIf(held -> !answers.test(held));
        Set<DataCentre> wanted = new LinkedHashSet<>();
        for (DataCentre centre : context.view().dataCentres()) {
            if (!centre.equals(context.ownCentre())) {
                int rank = Rendezvous.rank(context.id(), own, centre.value(), LINKS);
                if (rank < LINKS) {
                    wanted.add(centre);
                    links.computeIfAbsent(centre, name -> new Link(rank, now));
                }
            }
        }
        links.keySet().stream().filter(centre -> !wanted.contains(centre)).forEach(reports::forgetOwn);
        links.keySet().retainAll(wanted);
        publishPeers();
    }

    private void probe(DataCentre centre, Link link, long now) {
        link.nextProbe = now + context.settings().probePeriod().toNanos();
        Optional<MemberRecord> candidate = candidate(centre, link);
        link.peer = candidate.map(MemberRecord::id);
        publishPeers();
        candidate.ifPresent(peer -> context.prober().probe(peer, new Prober.ProbeListener() {
            @Override
            public void answered(NodeId by) {
                link.failures = 0;
                link.lastAnswer = context.now();
                reports.report(centre, true);
            }

            @Override
            public void unanswered() {
                onSilence(centre, link);
            }
        }));
    }

    private void onSilence(DataCentre centre, Link link) {
        link.failures++;
        link.offset++;
        long now = context.now();
        boolean tried = link.failures >= Math.min(MIN_FAILURES, members(centre).size());
        if (tried && now - link.lastAnswer >= UNREACHABLE_AFTER.toNanos() && links.containsKey(centre)) {
            reports.report(centre, false);
        } else {
            link.nextProbe = Math.min(link.nextProbe, now + RETRY.toNanos());
        }
    }

    /** The node over there that this link probes: the one of its own rank, and after failures the next ones. */
    private Optional<MemberRecord> candidate(DataCentre centre, Link link) {
        List<Held> members = members(centre);
        if (members.isEmpty()) {
            return Optional.empty();
        }
        String topic = context.ownCentre().value();
        List<Held> best = Rendezvous.best(members, topic, MAX_CANDIDATES);
        int place = (link.rank + link.offset) % members.size();
        if (place < best.size()) {
            return Optional.of(best.get(place).record());
        }
        // Far down the list the order no longer matters: any that has not been tried will do.
        members.sort(Comparator.comparing(Held::id));
        return Optional.of(members.get(place).record());
    }

    /** The members that may answer; those missing over there are tried when there are no others. */
    private List<Held> members(DataCentre centre) {
        List<Held> live = new ArrayList<>();
        List<Held> missing = new ArrayList<>();
        for (Held held : context.view().members(centre)) {
            if (held.record().status() == MemberStatus.MISSING) {
                missing.add(held);
            } else if (held.record().isLive()) {
                live.add(held);
            }
        }
        return live.isEmpty() ? missing : live;
    }

    private void publishPeers() {
        Set<NodeId> peers = new LinkedHashSet<>();
        links.values().forEach(link -> link.peer.ifPresent(peers::add));
        context.neighbours().setLinks(peers);
    }
}
