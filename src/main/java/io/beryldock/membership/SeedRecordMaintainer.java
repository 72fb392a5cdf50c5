package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.membership.MembershipView.HeldRecord;
import io.beryldock.membership.SeedRecords.Versioned;
import io.beryldock.time.Jitter;
import io.beryldock.wire.SeedAddress;
import io.beryldock.wire.SeedCentre;
import io.beryldock.wire.SeedRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Maintains this data centre's part of the seed record on the one node chosen for it by rendezvous hashing.
 *
 * <p>The record is read every few minutes and written only when too few of its addresses belong to live nodes.
 * Addresses from the record or the settings that belong to no known node are pinged, so that parts of a fleet that have
 * never communicated find each other. Confined to the control thread.
 */
final class SeedRecordMaintainer {

    static final Duration CHECK_PERIOD = Duration.ofMinutes(5);

    private static final Duration FIRST_CHECK_DELAY = Duration.ofSeconds(30);
    private static final Duration FIRST_CHECK_DELAY_WITHOUT_SEEDS = Duration.ofSeconds(5);
    private static final String TOPIC = "seed-record";
    private static final int MAX_ADDRESSES = 5;
    private static final int MIN_LIVE_ADDRESSES = 3;
    private static final int MAX_UNKNOWN_CONTACTED = 5;

    private final MembershipContext context;
    private final SeedRecords seedRecords;
    private final PeerFinder finder;
    private long nextCheck;

    SeedRecordMaintainer(MembershipContext context, SeedRecords seedRecords, PeerFinder finder) {
        this.context = context;
        this.seedRecords = seedRecords;
        this.finder = finder;
    }

    void start() {
        // Nodes that start at the same time each consider themselves the only node at first; the delay gives them time
        // to find each other.
        Duration first = context.settings().seeds().isEmpty() ? FIRST_CHECK_DELAY_WITHOUT_SEEDS : FIRST_CHECK_DELAY;
        nextCheck = context.now() + jittered(first);
    }

    void tick(long now) {
        if (now < nextCheck) {
            return;
        }
        nextCheck = now + jittered(CHECK_PERIOD);
        if (Rendezvous.rank(context.id(), alive(), TOPIC, 1) == 0) {
            seedRecords.read(read -> read.ifPresentOrElse(this::check, this::scheduleEarlyCheck));
        }
    }

    /**
     * Schedules an early check because the store is unreachable: the record may not exist yet, and without it nodes
     * that start alone would remain isolated.
     */
    private void scheduleEarlyCheck() {
        nextCheck = context.now() + jittered(FIRST_CHECK_DELAY);
    }

    private void check(Versioned found) {
        Set<InetSocketAddress> own = new LinkedHashSet<>();
        Set<InetSocketAddress> all = new LinkedHashSet<>(context.settings().seeds());
        for (SeedCentre centre : found.record().getCentresList()) {
            boolean isOwn = centre.getDataCentre().equals(context.ownCentre().value());
            for (SeedAddress wire : centre.getAddressesList()) {
                PeerFinder.decode(wire).ifPresent(address -> {
                    all.add(address);
                    if (isOwn) {
                        own.add(address);
                    }
                });
            }
        }
        refresh(found, own);
        contactUnknown(all);
    }

    private void refresh(Versioned found, Set<InetSocketAddress> listed) {
        List<HeldRecord> alive = alive();
        Set<InetSocketAddress> liveAddresses = new HashSet<>();
        alive.forEach(held -> liveAddresses.add(held.record().node().peerAddress()));
        Set<InetSocketAddress> kept = new LinkedHashSet<>(listed);
        kept.retainAll(liveAddresses);
        if (kept.size() >= Math.min(MIN_LIVE_ADDRESSES, alive.size())) {
            return;
        }
        for (HeldRecord held : Rendezvous.best(alive, TOPIC, MAX_ADDRESSES)) {
            if (kept.size() < MAX_ADDRESSES) {
                kept.add(held.record().node().peerAddress());
            }
        }
        seedRecords.write(found, withOwn(found.record(), kept), applied -> {
            if (!applied) {
                // Another data centre wrote the record in the meantime, or the answer was lost; check again soon.
                nextCheck = context.now() + jittered(FIRST_CHECK_DELAY_WITHOUT_SEEDS);
            }
        });
    }

    private SeedRecord withOwn(SeedRecord record, Set<InetSocketAddress> addresses) {
        SeedRecord.Builder next = SeedRecord.newBuilder();
        for (SeedCentre centre : record.getCentresList()) {
            if (!centre.getDataCentre().equals(context.ownCentre().value())) {
                next.addCentres(centre);
            }
        }
        SeedCentre.Builder own =
                SeedCentre.newBuilder().setDataCentre(context.ownCentre().value());
        addresses.forEach(address -> own.addAddresses(SeedAddress.newBuilder()
                .setAddress(MembershipCodec.bytes(address))
                .setPort(address.getPort())));
        return next.addCentres(own).build();
    }

    private void contactUnknown(Set<InetSocketAddress> addresses) {
        Set<InetSocketAddress> known = new HashSet<>();
        for (DataCentre centre : context.view().dataCentres()) {
            for (HeldRecord held : context.view().members(centre)) {
                if (held.record().isLive()) {
                    known.add(held.record().node().peerAddress());
                }
            }
        }
        List<InetSocketAddress> unknown = new ArrayList<>(addresses);
        unknown.removeAll(known);
        for (int i = 0; i < MAX_UNKNOWN_CONTACTED && !unknown.isEmpty(); i++) {
            finder.contact(unknown.remove(context.random().nextInt(unknown.size())));
        }
    }

    private List<HeldRecord> alive() {
        List<HeldRecord> alive = new ArrayList<>();
        for (HeldRecord held : context.view().members(context.ownCentre())) {
            if (held.record().status() == MemberStatus.ALIVE) {
                alive.add(held);
            }
        }
        return alive;
    }

    private long jittered(Duration delay) {
        return Jitter.around(delay, context.random()).toNanos();
    }
}
