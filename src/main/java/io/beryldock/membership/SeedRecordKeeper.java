package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.membership.MembershipView.Held;
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
 * Keeps this data centre's part of the seed record, if this node is the one chosen for it by rendezvous.
 *
 * <p>It looks at the record every few minutes and writes only when most of the addresses there no longer lead to a live
 * node. Addresses in it, or in the settings, that lead to nobody known are pinged, so that parts of a fleet which never
 * met find each other. Control thread only.
 */
final class SeedRecordKeeper {

    static final Duration PERIOD = Duration.ofMinutes(5);

    private static final Duration FIRST = Duration.ofSeconds(30);
    private static final Duration FIRST_WHEN_ALONE = Duration.ofSeconds(5);
    private static final String TOPIC = "seed-record";
    private static final int ADDRESSES = 5;
    private static final int MIN_LIVE = 3;
    private static final int MAX_STRANGERS = 5;

    private final MembershipContext context;
    private final SeedRecords records;
    private final PeerFinder finder;
    private long next;

    SeedRecordKeeper(MembershipContext context, SeedRecords records, PeerFinder finder) {
        this.context = context;
        this.records = records;
        this.finder = finder;
    }

    void start() {
        // Nodes that start together each take themselves for the only one at first; the wait lets them meet.
        Duration first = context.settings().seeds().isEmpty() ? FIRST_WHEN_ALONE : FIRST;
        next = context.now() + jittered(first);
    }

    void tick(long now) {
        if (now < next) {
            return;
        }
        next = now + jittered(PERIOD);
        if (Rendezvous.rank(context.id(), alive(), TOPIC, 1) == 0) {
            records.read(read -> read.ifPresentOrElse(this::check, this::checkSoon));
        }
    }

    /** The store is down: until it has been read the record may be missing, and nodes that start alone stay alone. */
    private void checkSoon() {
        next = context.now() + jittered(FIRST);
    }

    private void check(Versioned found) {
        Set<InetSocketAddress> own = new LinkedHashSet<>();
        Set<InetSocketAddress> all = new LinkedHashSet<>(context.settings().seeds());
        for (SeedCentre centre : found.record().getCentresList()) {
            boolean isOwn = centre.getDataCentre().equals(context.ownCentre().value());
            for (SeedAddress wire : centre.getAddressesList()) {
                PeerFinder.read(wire).ifPresent(address -> {
                    all.add(address);
                    if (isOwn) {
                        own.add(address);
                    }
                });
            }
        }
        refresh(found, own);
        contactStrangers(all);
    }

    private void refresh(Versioned found, Set<InetSocketAddress> listed) {
        List<Held> alive = alive();
        Set<InetSocketAddress> living = new HashSet<>();
        alive.forEach(held -> living.add(held.record().node().peerAddress()));
        Set<InetSocketAddress> kept = new LinkedHashSet<>(listed);
        kept.retainAll(living);
        if (kept.size() >= Math.min(MIN_LIVE, alive.size())) {
            return;
        }
        for (Held held : Rendezvous.best(alive, TOPIC, ADDRESSES)) {
            if (kept.size() < ADDRESSES) {
                kept.add(held.record().node().peerAddress());
            }
        }
        records.write(found, withOwn(found.record(), kept), applied -> {
            if (!applied) {
                // Another data centre wrote meanwhile, or the answer was lost: look again soon.
                next = context.now() + jittered(FIRST_WHEN_ALONE);
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

    private void contactStrangers(Set<InetSocketAddress> addresses) {
        Set<InetSocketAddress> known = new HashSet<>();
        for (DataCentre centre : context.view().dataCentres()) {
            for (Held held : context.view().members(centre)) {
                if (held.record().isLive()) {
                    known.add(held.record().node().peerAddress());
                }
            }
        }
        List<InetSocketAddress> strangers = new ArrayList<>(addresses);
        strangers.removeAll(known);
        for (int i = 0; i < MAX_STRANGERS && !strangers.isEmpty(); i++) {
            finder.contact(strangers.remove(context.random().nextInt(strangers.size())));
        }
    }

    private List<Held> alive() {
        List<Held> alive = new ArrayList<>();
        for (Held held : context.view().members(context.ownCentre())) {
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
