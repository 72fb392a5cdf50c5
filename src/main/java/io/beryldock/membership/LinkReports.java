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
 * Shares the findings of the links of this data centre about the other data centres, and determines from them which
 * data centres are unreachable.
 *
 * <p>A data centre is unreachable when at least one link reports it as unreachable and no link reports it as reachable;
 * a link that reaches it contradicts a received report to the contrary. Reports that are not renewed expire. The
 * targets of an unreachable data centre remain in the directory, marked as unreachable, because a partition between
 * data centres does not mean that they have failed. Confined to the control thread.
 */
final class LinkReports {

    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(10);
    private static final Duration EXPIRY = Duration.ofSeconds(30);

    /** Exceeds the longest delay of a copy of a report, for example a copy held up by a paused node. */
    private static final Duration REPORT_RETENTION = Duration.ofMinutes(10);

    private record ReceivedReport(MembershipLinkReport report, long receivedAt) {}

    private final MembershipContext context;
    private final Runnable onChange;
    private final Map<DataCentre, Boolean> ownFindings = new LinkedHashMap<>();
    private final Map<Long, ReceivedReport> received = new LinkedHashMap<>();
    private final Map<DataCentre, Long> unreachable = new LinkedHashMap<>();
    private long lastSent;
    private long number;

    LinkReports(MembershipContext context, Runnable onChange) {
        this.context = context;
        this.onChange = onChange;
        this.lastSent = context.now();
    }

    /** Returns the data centres that no link of this data centre reaches. */
    Set<DataCentre> unreachable() {
        return unreachable.keySet();
    }

    /** Returns the data centres that have been unreachable for longer than the given time. */
    List<DataCentre> unreachableFor(Duration time, long now) {
        return unreachable.entrySet().stream()
                .filter(entry -> now - entry.getValue() > time.toNanos())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Stores a finding of this node's own link and publishes it when it changes the state or contradicts other reports.
     */
    void report(DataCentre centre, boolean reachable) {
        Boolean before = ownFindings.put(centre, reachable);
        boolean changed = before == null ? !reachable : before != reachable;
        boolean contradicts = reachable && unreachable.containsKey(centre);
        if (changed || contradicts) {
            publishOwn();
        }
    }

    /** Discards the finding on a data centre to which this node no longer holds a link. */
    void discardOwn(DataCentre centre) {
        if (ownFindings.remove(centre) != null && unreachable.containsKey(centre)) {
            publishOwn();
        }
    }

    void onReport(NodeId from, MembershipLinkReport report) {
        // Reports are keyed by incarnation, not by id. If reports of two incarnations of one node counted as updates of
        // each other, every copy would be forwarded again and again, in an endless message storm.
        ReceivedReport last = received.get(report.getIncarnation());
        boolean known = last != null && last.report().getNumber() >= report.getNumber();
        if (known || report.getIncarnation() == ownIncarnation()) {
            return;
        }
        received.put(report.getIncarnation(), new ReceivedReport(report, context.now()));
        forward(report, Optional.of(from));
        updateUnreachable();
        contradictIfReachable(report);
    }

    void tick(long now) {
        received.values().removeIf(last -> now - last.receivedAt() > REPORT_RETENTION.toNanos());
        if (!unreachable.isEmpty()) {
            updateUnreachable();
        }
        boolean anyDown = ownFindings.containsValue(false)
                || ownFindings.keySet().stream().anyMatch(unreachable::containsKey);
        if (anyDown && now - lastSent >= RENEWAL_PERIOD.toNanos()) {
            publishOwn();
        }
    }

    private void contradictIfReachable(MembershipLinkReport report) {
        for (MembershipLinkState state : report.getStatesList()) {
            boolean reachable = ownFindings.getOrDefault(DataCentre.of(state.getDataCentre()), false);
            if (!state.getReachable() && reachable) {
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
        ownFindings.forEach((centre, reachable) -> report.addStates(
                MembershipLinkState.newBuilder().setDataCentre(centre.value()).setReachable(reachable)));
        MembershipLinkReport built = report.build();
        received.put(ownIncarnation(), new ReceivedReport(built, context.now()));
        forward(built, Optional.empty());
        updateUnreachable();
    }

    private void forward(MembershipLinkReport report, Optional<NodeId> from) {
        for (NodeId id : context.neighbours().all(context.now())) {
            boolean local = context.view().find(id).filter(context::isOwnCentre).isPresent();
            if (local && !from.equals(Optional.of(id))) {
                context.send(id, MembershipMessage.newBuilder().setLinkReport(report));
            }
        }
    }

    private void updateUnreachable() {
        Set<DataCentre> down = new LinkedHashSet<>();
        Set<DataCentre> up = new LinkedHashSet<>();
        for (ReceivedReport last : received.values()) {
            if (!isValid(last)) {
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

    /** Whether the report has not expired and its reporter is live in the same incarnation. */
    private boolean isValid(ReceivedReport last) {
        boolean fresh = context.now() - last.receivedAt() <= EXPIRY.toNanos();
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
            boolean isNew = !unreachable.containsKey(centre) && ownFindings.containsKey(centre);
            if (isNew) {
                context.events()
                        .record(EventKind.PARTITION_SUSPECTED, centre.value(), "no link reaches this data centre");
            }
        }
    }
}
