package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.timeline.EventKind;
import io.beryldock.wire.MembershipLinkReport;
import io.beryldock.wire.MembershipLinkState;
import io.beryldock.wire.MembershipMessage;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the links of this data centre find of the others, passed on within the data centre.
 *
 * <p>A data centre is unreachable when at least one link says so and none says the opposite; a link that reaches it
 * objects when it hears so. Reports that are not renewed expire. The targets of an unreachable data centre stay in the
 * directory, marked: a cut between data centres shows no failure of theirs. Control thread only.
 */
final class LinkReports {

    private static final Duration RENEWAL = Duration.ofSeconds(10);
    private static final Duration EXPIRY = Duration.ofSeconds(30);

    /** Exceeds the time that a copy of a report can be on its way, held up by a paused node for instance. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    private record Received(MembershipLinkReport report, long at) {}

    private final MembershipContext context;
    private final Runnable onChange;
    private final Map<DataCentre, Boolean> own = new LinkedHashMap<>();
    private final Map<Long, Received> received = new LinkedHashMap<>();
    private final Map<DataCentre, Long> unreachable = new LinkedHashMap<>();
    private long lastSent;
    private long number;

    LinkReports(MembershipContext context, Runnable onChange) {
        this.context = context;
        this.onChange = onChange;
        this.lastSent = context.now();
    }

    /** The data centres that no link of this one reaches. */
    Set<DataCentre> unreachable() {
        return unreachable.keySet();
    }

    /** The data centres that have been unreachable for longer than the given time. */
    List<DataCentre> unreachableFor(Duration time, long now) {
        return unreachable.entrySet().stream()
                .filter(entry -> now - entry.getValue() > time.toNanos())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Takes the finding of this node's own link. */
    void report(DataCentre centre, boolean reachable) {
        Boolean before = own.put(centre, reachable);
        boolean news = before == null ? !reachable : before != reachable;
        boolean objection = reachable && unreachable.containsKey(centre);
        if (news || objection) {
            publishOwn();
        }
    }

    /** Drops the finding when this node is no link to the data centre any more. */
    void forgetOwn(DataCentre centre) {
        if (own.remove(centre) != null && unreachable.containsKey(centre)) {
            publishOwn();
        }
    }

    void onReport(NodeId from, MembershipLinkReport report) {
        // By start, not by id: were reports of two starts of a node taken for news of each other, each copy would be
        // passed on again and again, which showed as a storm of messages without end.
        Received last = received.get(report.getIncarnation());
        boolean known = last != null && last.report().getNumber() >= report.getNumber();
        if (known || report.getIncarnation() == ownIncarnation()) {
            return;
        }
        received.put(report.getIncarnation(), new Received(report, context.now()));
        passOn(report, Optional.of(from));
        judge();
        objectIfReached(report);
    }

    void tick(long now) {
        received.values().removeIf(last -> now - last.at() > MEMORY.toNanos());
        if (!unreachable.isEmpty()) {
            judge();
        }
        boolean anyDown = own.containsValue(false) || own.keySet().stream().anyMatch(unreachable::containsKey);
        if (anyDown && now - lastSent >= RENEWAL.toNanos()) {
            publishOwn();
        }
    }

    private void objectIfReached(MembershipLinkReport report) {
        for (MembershipLinkState state : report.getStatesList()) {
            boolean reached = own.getOrDefault(DataCentre.of(state.getDataCentre()), false);
            if (!state.getReachable() && reached) {
                publishOwn();
                return;
            }
        }
    }

    private void publishOwn() {
        lastSent = context.now();
        number++;
        MembershipLinkReport.Builder report = MembershipLinkReport.newBuilder()
                .setReporter(context.id().value())
                .setIncarnation(ownIncarnation())
                .setNumber(number);
        own.forEach((centre, reachable) -> report.addStates(
                MembershipLinkState.newBuilder().setDataCentre(centre.value()).setReachable(reachable)));
        MembershipLinkReport built = report.build();
        received.put(ownIncarnation(), new Received(built, context.now()));
        passOn(built, Optional.empty());
        judge();
    }

    private void passOn(MembershipLinkReport report, Optional<NodeId> from) {
        for (NodeId id : context.neighbours().all(context.now())) {
            boolean local = context.view().find(id).filter(context::isOwnCentre).isPresent();
            if (local && !from.equals(Optional.of(id))) {
                context.send(id, MembershipMessage.newBuilder().setLinkReport(report));
            }
        }
    }

    private void judge() {
        Set<DataCentre> down = new LinkedHashSet<>();
        Set<DataCentre> up = new LinkedHashSet<>();
        for (Received last : received.values()) {
            if (!counts(last)) {
                continue;
            }
            for (MembershipLinkState state : last.report().getStatesList()) {
                (state.getReachable() ? up : down).add(DataCentre.of(state.getDataCentre()));
            }
        }
        down.removeAll(up);
        if (!down.equals(unreachable.keySet())) {
            recordChange(down);
            unreachable.keySet().retainAll(down);
            down.forEach(centre -> unreachable.putIfAbsent(centre, context.now()));
            onChange.run();
        }
    }

    /** A report counts while it is fresh and its reporter is held for alive. */
    private boolean counts(Received last) {
        boolean fresh = context.now() - last.at() <= EXPIRY.toNanos();
        return fresh
                && context.view()
                        .find(NodeId.of(last.report().getReporter()))
                        .filter(MemberRecord::isLive)
                        .filter(member -> member.node().incarnation().low()
                                == last.report().getIncarnation())
                        .isPresent();
    }

    private long ownIncarnation() {
        return context.self().current().node().incarnation().low();
    }

    private void recordChange(Set<DataCentre> next) {
        for (DataCentre centre : next) {
            boolean isNew = !unreachable.containsKey(centre) && own.containsKey(centre);
            if (isNew) {
                context.events()
                        .record(EventKind.PARTITION_SUSPECTED, centre.value(), "no link reaches this data centre");
            }
        }
    }
}
