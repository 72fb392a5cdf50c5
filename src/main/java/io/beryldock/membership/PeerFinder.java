package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.Jitter;
import io.beryldock.wire.SeedAddress;
import io.beryldock.wire.SeedCentre;
import io.beryldock.wire.SeedRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the first peers of a node that hears from nobody: asks the seeds of its settings, and when these are silent
 * too reads further ones from the seed record.
 *
 * <p>Invariant: reads of the record are spaced by a delay that doubles up to {@link #MAX_READ_DELAY}, with jitter, so
 * that many isolated nodes do not fall upon a store that has just come back. Control thread only.
 */
final class PeerFinder {

    static final Duration MAX_READ_DELAY = Duration.ofSeconds(30);

    /** Without a word from anybody for so long a node takes itself for isolated. */
    static final Duration ISOLATED_AFTER = Duration.ofSeconds(10);

    private static final Duration FIRST_READ_DELAY = Duration.ofSeconds(2);
    private static final Duration MIN_CONTACT_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_CONTACT_DELAY = Duration.ofSeconds(5);
    private static final int CONTACTS = 3;

    private final MembershipContext context;
    private final SeedRecords records;
    private final Set<InetSocketAddress> learned = new LinkedHashSet<>();
    private boolean heardAny;
    private long contactDelay;
    private long nextContact;
    private long readDelay;
    private long nextRead;

    PeerFinder(MembershipContext context, SeedRecords records) {
        this.context = context;
        this.records = records;
    }

    void start() {
        resetDelays(context.now());
    }

    /** Whether no node has answered for a while, or since the start. */
    boolean isIsolated(long now) {
        return !heardAny || now - context.prober().lastHeard() > ISOLATED_AFTER.toNanos();
    }

    void tick(long now) {
        if (context.self().isJoined() && !isIsolated(now)) {
            resetDelays(now);
            return;
        }
        if (now >= nextContact) {
            nextContact = now + jittered(contactDelay);
            contactDelay = Math.min(2 * contactDelay, MAX_CONTACT_DELAY.toNanos());
            contactSome();
        }
        if (now >= nextRead && isIsolated(now)) {
            nextRead = now + jittered(readDelay);
            readDelay = Math.min(2 * readDelay, MAX_READ_DELAY.toNanos());
            records.read(read -> read.ifPresent(found -> learn(found.record())));
        }
    }

    /** Pings the address, in case a node is there that this one does not know. */
    void contact(InetSocketAddress address) {
        if (address.equals(self())) {
            return;
        }
        context.prober().probe(address, new Prober.ProbeListener() {
            @Override
            public void answered(NodeId by) {
                heardAny = true;
            }

            @Override
            public void unanswered() {
                // The next try comes with the next tick that is due.
            }
        });
    }

    /** Notes that some node answered. */
    void onHeard() {
        heardAny = true;
    }

    private void learn(SeedRecord record) {
        learned.clear();
        for (SeedCentre centre : record.getCentresList()) {
            for (SeedAddress address : centre.getAddressesList()) {
                read(address).ifPresent(learned::add);
            }
        }
        contactSome();
    }

    /** The address, empty when the record holds none there. */
    static Optional<InetSocketAddress> read(SeedAddress address) {
        try {
            return Optional.of(MembershipCodec.address(address.getAddress(), address.getPort()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void contactSome() {
        Set<InetSocketAddress> candidates =
                new LinkedHashSet<>(context.settings().seeds());
        candidates.addAll(learned);
        candidates.remove(self());
        List<InetSocketAddress> left = new ArrayList<>(candidates);
        for (int i = 0; i < CONTACTS && !left.isEmpty(); i++) {
            contact(left.remove(context.random().nextInt(left.size())));
        }
    }

    private InetSocketAddress self() {
        return context.self().current().node().peerAddress();
    }

    private void resetDelays(long now) {
        contactDelay = MIN_CONTACT_DELAY.toNanos();
        nextContact = now;
        readDelay = FIRST_READ_DELAY.toNanos();
        boolean hasSeeds = context.settings().seeds().stream().anyMatch(seed -> !seed.equals(self()));
        nextRead = hasSeeds ? now + jittered(readDelay) : now;
    }

    /** Between half of the delay and one and a half. */
    private long jittered(long delay) {
        return Jitter.around(Duration.ofNanos(delay), context.random()).toNanos();
    }
}
