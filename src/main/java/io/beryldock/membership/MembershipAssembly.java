package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import io.beryldock.store.PlatformStore;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Creates the components of one node's membership, connects them, and implements the operations that involve several of
 * them. Confined to the control thread.
 */
final class MembershipAssembly {

    /** A node that resumes after a pause suspects no other node for this long. */
    private static final Duration NO_SUSPICIONS_AFTER_PAUSE = Duration.ofSeconds(5);

    /** A new node searches for joined nodes for this long before it joins without them. */
    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration HOUSEKEEPING_PERIOD = Duration.ofMinutes(1);

    /** Failed nodes are included in snapshots for operators for this long. */
    private static final Duration FAILED_DISPLAY_PERIOD = Duration.ofMinutes(10);

    private final MembershipContext context;
    private final RecordSpreader spreader;
    private final RecordMerger merger;
    private final FailureDetector detector;
    private final LinkReports reports;
    private final CentreLinks links;
    private final AntiEntropy antiEntropy;
    private final SeedRecords seedRecords;
    private final PeerFinder finder;
    private final SeedRecordMaintainer seedRecordMaintainer;
    private final DirectoryPublisher publisher;
    private final MessageReceiver receiver;
    private final long startedAt;
    private long nextHousekeeping;

    private MembershipAssembly(MembershipContext context, PlatformStore store) {
        this.context = context;
        spreader = RecordSpreader.create(context.view(), context.neighbours(), context.sender(), context.timers());
        antiEntropy = new AntiEntropy(context, this::onViewComplete);
        merger = RecordMerger.create(context, spreader, context.self()::isJoined, this::onChange);
        IndirectProber indirect = new IndirectProber(context);
        detector = new FailureDetector(context, indirect, merger);
        reports = new LinkReports(context, this::onUnreachableChange);
        links = new CentreLinks(context, reports, held -> isReachable(held));
        seedRecords = new SeedRecords(store, context.timers(), context.events());
        finder = new PeerFinder(context, seedRecords);
        seedRecordMaintainer = new SeedRecordMaintainer(context, seedRecords, finder);
        publisher = new DirectoryPublisher(
                context.view(), context.timers(), this::reachability, reports::unreachable, antiEntropy::isRefreshing);
        receiver = new MessageReceiver(context, merger, indirect, antiEntropy, reports, finder);
        startedAt = context.now();
        nextHousekeeping = context.now();
    }

    static MembershipAssembly create(MembershipContext context, PlatformStore store) {
        return new MembershipAssembly(context, store);
    }

    MembershipContext context() {
        return context;
    }

    RecordSpreader spreader() {
        return spreader;
    }

    RecordMerger merger() {
        return merger;
    }

    FailureDetector detector() {
        return detector;
    }

    PeerFinder finder() {
        return finder;
    }

    SeedRecordMaintainer seedRecordMaintainer() {
        return seedRecordMaintainer;
    }

    DirectoryPublisher publisher() {
        return publisher;
    }

    MessageReceiver receiver() {
        return receiver;
    }

    void tick(long now) {
        context.prober().tick(now);
        antiEntropy.tick(now);
        finder.tick(now);
        if (!context.self().isJoined()) {
            joinWithoutPeers(now);
            return;
        }
        detector.tick(now);
        links.tick(now);
        reports.tick(now);
        seedRecordMaintainer.tick(now);
        if (now - nextHousekeeping >= 0) {
            nextHousekeeping = now + HOUSEKEEPING_PERIOD.toNanos();
            runHousekeeping(now);
        }
    }

    /** Resumes membership after a pause of the given length, during which the view may have become stale. */
    void resume(Duration gap) {
        long now = context.now();
        context.prober().discardOpenProbes();
        detector.suspendSuspicionsUntil(now + NO_SUSPICIONS_AFTER_PAUSE.toNanos());
        links.restartTimeouts(now);
        antiEntropy.refresh();
        if (gap.compareTo(MembershipView.UNREACHABLE_RETENTION) > 0) {
            // Other nodes may have discarded the tombstones of nodes that this view still holds as live; sending these
            // records to them would restore dead nodes.
            context.view().removeAllExcept(context.id());
            detector.discardAll();
        }
        publisher.onChange();
    }

    MembershipSnapshot snapshot() {
        ImmutableList.Builder<MembershipSnapshot.Member> members = ImmutableList.builder();
        long now = context.now();
        for (DataCentre centre : context.view().dataCentres()) {
            for (HeldRecord held : context.view().members(centre)) {
                boolean recent = now - held.since() < FAILED_DISPLAY_PERIOD.toNanos();
                boolean failed = held.record().status() == MemberStatus.FAILED;
                if (held.record().isLive() || (failed && recent)) {
                    members.add(new MembershipSnapshot.Member(
                            held.record().node(),
                            displayedReachability(held),
                            held.record().targetRecord()));
                }
            }
        }
        return new MembershipSnapshot(
                context.self().current().node(),
                members.build(),
                detector.isMassLoss(),
                context.self().isSuperseded());
    }

    MembershipStatistics statistics() {
        return new MembershipStatistics(
                context.sender().messages(),
                context.sender().bytes(),
                receiver.messages(),
                receiver.bytes(),
                seedRecords.reads(),
                seedRecords.writes());
    }

    private Reachability displayedReachability(HeldRecord held) {
        boolean cutOff = reports.unreachable().contains(held.record().node().dataCentre());
        return cutOff ? Reachability.UNREACHABLE : reachability(held);
    }

    private Reachability reachability(HeldRecord held) {
        return switch (held.record().status()) {
            case ALIVE -> Reachability.REACHABLE;
            case SUSPECTED -> Reachability.SUSPECTED;
            case MISSING, FAILED, LEFT -> Reachability.UNREACHABLE;
        };
    }

    private boolean isReachable(HeldRecord held) {
        return reachability(held) != Reachability.UNREACHABLE;
    }

    private void onChange(Optional<MemberRecord> before, MemberRecord after) {
        links.onChange();
        publisher.onChange(after.node().dataCentre());
        before.map(old -> old.node().dataCentre())
                .filter(centre -> !centre.equals(after.node().dataCentre()))
                .ifPresent(publisher::onChange);
        if (!context.isOwnCentre(after)) {
            return;
        }
        detector.onChange(after);
        boolean wasLive = before.filter(MemberRecord::isLive).isPresent();
        if (after.hasLeft() && wasLive && detector.isObserverOf(after.id())) {
            context.events().record(EventKind.MEMBER_LEFT, after.id().value(), "stopped as planned");
        } else if (before.isEmpty() && context.self().isJoined()) {
            context.events().record(EventKind.MEMBER_JOINED, after.id().value(), "is new in this data centre");
        }
    }

    private void onUnreachableChange() {
        publisher.onChange();
    }

    private void onViewComplete() {
        if (!context.self().isJoined()) {
            join();
        }
        publisher.onChange();
    }

    /**
     * Joins without the view of another node when no joined node answers: either all nodes start at the same time, or
     * this node is the only one.
     */
    private void joinWithoutPeers(long now) {
        boolean timedOut = now - startedAt >= JOIN_TIMEOUT.toNanos();
        if (timedOut && !antiEntropy.hasReceivedDigest()) {
            join();
        }
    }

    private void join() {
        context.self().join();
        merger.accept(context.self().current());
    }

    private void runHousekeeping(long now) {
        for (DataCentre centre : reports.unreachableFor(MembershipView.UNREACHABLE_RETENTION, now)) {
            markFailed(centre, now);
        }
        List<NodeId> removed = context.view().removeExpiredTombstones(now);
        removed.forEach(context.prober()::remove);
    }

    /**
     * Marks the nodes of a data centre that has been unreachable for very long as failed.
     *
     * <p>They cannot be kept indefinitely, because their replacements may have other ids. The change is not sent to
     * other nodes: if the data centre becomes reachable again, its nodes receive the status when digests are compared
     * and refute it.
     */
    private void markFailed(DataCentre centre, long now) {
        for (HeldRecord held : List.copyOf(context.view().members(centre))) {
            if (held.record().isLive()) {
                context.view().merge(held.record().withStatus(MemberStatus.FAILED), now);
            }
        }
        publisher.onChange(centre);
    }
}
