package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
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
 * Maintains the links of this node to the other data centres for which it is chosen.
 *
 * <p>For each other data centre, the two members with the highest rendezvous weight for it hold the links, which
 * distributes the links to many data centres over many nodes. A link probes the node of the other data centre that is
 * chosen in the same way, and the next node in order when that node does not answer. Confined to the control thread.
 */
final class CentreLinks {

    static final int LINKS_PER_CENTRE = 2;

    /** A data centre is reported as unreachable when none of its nodes has answered for this long. */
    static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(5);

    private static final int MIN_FAILURES = 3;
    private static final int MAX_CANDIDATES = 8;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** The state of one link. Confined to the control thread. */
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
    private final Predicate<HeldRecord> isEligible;
    private final Map<DataCentre, Link> links = new LinkedHashMap<>();
    private boolean changed = true;

    /** Creates the links; {@code isEligible} tests which members of this data centre are eligible to hold a link. */
    CentreLinks(MembershipContext context, LinkReports reports, Predicate<HeldRecord> isEligible) {
        this.context = context;
        this.reports = reports;
        this.isEligible = isEligible;
    }

    /** Marks the choice of links as outdated after a change of members or data centres. */
    void onChange() {
        changed = true;
    }

    /** Returns the data centres to which this node holds a link. */
    Set<DataCentre> centres() {
        return links.keySet();
    }

    void tick(long now) {
        if (changed) {
            changed = false;
            chooseLinks(now);
        }
        links.forEach((centre, link) -> {
            if (link.nextProbe <= now) {
                probe(centre, link, now);
            }
        });
    }

    /**
     * Resets the failure state of all links after a pause of this node, during which it could not receive any answers.
     */
    void restartTimeouts(long now) {
        links.values().forEach(link -> {
            link.lastAnswer = now;
            link.failures = 0;
        });
    }

    private void chooseLinks(long now) {
        List<HeldRecord> own = members(context.ownCentre());
        own.removeIf(held -> !isEligible.test(held));
        Set<DataCentre> wanted = new LinkedHashSet<>();
        for (DataCentre centre : context.view().dataCentres()) {
            if (!centre.equals(context.ownCentre())) {
                int rank = Rendezvous.rank(context.id(), own, centre.value(), LINKS_PER_CENTRE);
                if (rank < LINKS_PER_CENTRE) {
                    wanted.add(centre);
                    links.computeIfAbsent(centre, name -> new Link(rank, now));
                }
            }
        }
        links.keySet().stream().filter(centre -> !wanted.contains(centre)).forEach(reports::discardOwn);
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
                onProbeFailure(centre, link);
            }
        }));
    }

    private void onProbeFailure(DataCentre centre, Link link) {
        link.failures++;
        link.offset++;
        long now = context.now();
        boolean enoughFailures =
                link.failures >= Math.min(MIN_FAILURES, members(centre).size());
        if (enoughFailures && now - link.lastAnswer >= UNREACHABLE_AFTER.toNanos() && links.containsKey(centre)) {
            reports.report(centre, false);
        } else {
            link.nextProbe = Math.min(link.nextProbe, now + RETRY_DELAY.toNanos());
        }
    }

    /** Returns the node to probe: the one of the same rank as this link, and after failures the following ones. */
    private Optional<MemberRecord> candidate(DataCentre centre, Link link) {
        List<HeldRecord> members = members(centre);
        if (members.isEmpty()) {
            return Optional.empty();
        }
        String topic = context.ownCentre().value();
        List<HeldRecord> best = Rendezvous.best(members, topic, MAX_CANDIDATES);
        int position = (link.rank + link.offset) % members.size();
        if (position < best.size()) {
            return Optional.of(best.get(position).record());
        }
        // Beyond the ranked candidates the order is irrelevant; any member not yet tried is suitable.
        members.sort(Comparator.comparing(HeldRecord::id));
        return Optional.of(members.get(position).record());
    }

    /** Returns the members to probe; members marked missing are included only when there are no others. */
    private List<HeldRecord> members(DataCentre centre) {
        List<HeldRecord> live = new ArrayList<>();
        List<HeldRecord> missing = new ArrayList<>();
        for (HeldRecord held : context.view().members(centre)) {
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
