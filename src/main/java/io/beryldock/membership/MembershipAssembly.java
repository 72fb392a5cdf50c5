package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
import io.beryldock.store.PlatformStore;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The parts of one node's membership, put together, and what concerns several of them at once. Control thread only.
 */
final class MembershipAssembly {

    /** A node that resumes after a pause accuses nobody for so long. */
    private static final Duration QUIET_AFTER_PAUSE = Duration.ofSeconds(5);

    /** A new node looks that long for others before it goes on alone. */
    private static final Duration JOIN_PATIENCE = Duration.ofMillis(1500);

    private static final Duration HOUSEKEEPING = Duration.ofMinutes(1);

    /** Failed nodes are shown to operators for so long. */
    private static final Duration SHOWN_FAILED = Duration.ofMinutes(10);

    private final MembershipContext context;
    private final RecordSpreader spreader;
    private final RecordIntake intake;
    private final FailureDetector detector;
    private final LinkReports reports;
    private final CentreLinks links;
    private final AntiEntropy antiEntropy;
    private final SeedRecords records;
    private final PeerFinder finder;
    private final SeedRecordKeeper keeper;
    private final DirectoryPublisher publisher;
    private final MessageReceiver receiver;
    private final long startedAt;
    private long nextHousekeeping;

    private MembershipAssembly(MembershipContext context, PlatformStore store) {
        this.context = context;
        spreader = RecordSpreader.create(context.view(), context.neighbours(), context.sender(), context.timers());
        antiEntropy = new AntiEntropy(context, this::onComplete);
        intake = RecordIntake.create(context, spreader, context.self()::isJoined, this::onChange);
        IndirectProber indirect = new IndirectProber(context);
        detector = new FailureDetector(context, indirect, intake);
        reports = new LinkReports(context, this::onReports);
        links = new CentreLinks(context, reports, held -> isReachable(held));
        records = new SeedRecords(store, context.timers(), context.events());
        finder = new PeerFinder(context, records);
        keeper = new SeedRecordKeeper(context, records, finder);
        publisher = new DirectoryPublisher(
                context.view(), context.timers(), this::reachability, reports::unreachable, antiEntropy::isRefreshing);
        receiver = new MessageReceiver(context, intake, indirect, antiEntropy, reports, finder);
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

    RecordIntake intake() {
        return intake;
    }

    FailureDetector detector() {
        return detector;
    }

    PeerFinder finder() {
        return finder;
    }

    SeedRecordKeeper keeper() {
        return keeper;
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
            joinAlone(now);
            return;
        }
        detector.tick(now);
        links.tick(now);
        reports.tick(now);
        keeper.tick(now);
        if (now - nextHousekeeping >= 0) {
            nextHousekeeping = now + HOUSEKEEPING.toNanos();
            keepHouse(now);
        }
    }

    /** Takes up work after a pause of that length: what is held may be old. */
    void resume(Duration gap) {
        long now = context.now();
        context.prober().forgetOpenProbes();
        detector.keepQuietUntil(now + QUIET_AFTER_PAUSE.toNanos());
        links.restartClocks(now);
        antiEntropy.refresh();
        if (gap.compareTo(MembershipView.UNREACHABLE_RETENTION) > 0) {
            // Others may have forgotten that nodes held here are dead; nothing of it may come back to them.
            context.view().clearAllBut(context.id());
            detector.forgetAll();
        }
        publisher.onChange();
    }

    MembershipSnapshot snapshot() {
        ImmutableList.Builder<MembershipSnapshot.Member> members = ImmutableList.builder();
        long now = context.now();
        for (DataCentre centre : context.view().dataCentres()) {
            for (Held held : context.view().members(centre)) {
                boolean recent = now - held.since() < SHOWN_FAILED.toNanos();
                boolean failed = held.record().status() == MemberStatus.FAILED;
                if (held.record().isLive() || (failed && recent)) {
                    members.add(new MembershipSnapshot.Member(
                            held.record().node(),
                            shownReachability(held),
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
                records.reads(),
                records.writes());
    }

    private Reachability shownReachability(Held held) {
        boolean cutOff = reports.unreachable().contains(held.record().node().dataCentre());
        return cutOff ? Reachability.UNREACHABLE : reachability(held);
    }

    private Reachability reachability(Held held) {
        return switch (held.record().status()) {
            case ALIVE -> Reachability.REACHABLE;
            case SUSPECTED -> Reachability.SUSPECTED;
            case MISSING, FAILED, LEFT -> Reachability.UNREACHABLE;
        };
    }

    private boolean isReachable(Held held) {
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

    private void onReports() {
        publisher.onChange();
    }

    private void onComplete() {
        if (!context.self().isJoined()) {
            join();
        }
        publisher.onChange();
    }

    /** Joins without the view of another node when none that has joined can be found: all start at once, or alone. */
    private void joinAlone(long now) {
        boolean waited = now - startedAt >= JOIN_PATIENCE.toNanos();
        if (waited && !antiEntropy.hasHeardMember()) {
            join();
        }
    }

    private void join() {
        context.self().join();
        intake.accept(context.self().current());
    }

    private void keepHouse(long now) {
        for (DataCentre centre : reports.unreachableFor(MembershipView.UNREACHABLE_RETENTION, now)) {
            retire(centre, now);
        }
        List<NodeId> forgotten = context.view().forgetTombstones(now);
        forgotten.forEach(context.prober()::forget);
    }

    /**
     * Takes the nodes of a data centre that was unreachable for very long for failed.
     *
     * <p>They are not kept for ever, since their replacements may have other ids. It is said to nobody: should the data
     * centre come back its nodes hear of it by the comparison of digests and deny.
     */
    private void retire(DataCentre centre, long now) {
        for (Held held : List.copyOf(context.view().members(centre))) {
            if (held.record().isLive()) {
                context.view().merge(held.record().withStatus(MemberStatus.FAILED), now);
            }
        }
        publisher.onChange(centre);
    }
}
