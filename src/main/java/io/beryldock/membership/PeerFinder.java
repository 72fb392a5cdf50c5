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
 * Finds the first peers of an isolated node: contacts the seeds of the settings, and if no seed answers, also the
 * addresses of the seed record in the platform store.
 *
 * <p>Invariant: reads of the record are spaced by a delay with jitter that doubles up to {@link #MAX_READ_DELAY}, so
 * that many isolated nodes do not overload a store that has just recovered. Confined to the control thread.
 */
final class PeerFinder {

    static final Duration MAX_READ_DELAY = Duration.ofSeconds(30);

    /** A node is considered isolated when it has received no acknowledgement for this long. */
    static final Duration ISOLATED_AFTER = Duration.ofSeconds(10);

    private static final Duration FIRST_READ_DELAY = Duration.ofSeconds(2);
    private static final Duration MIN_CONTACT_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_CONTACT_DELAY = Duration.ofSeconds(5);
    private static final int CONTACTS_PER_ATTEMPT = 3;

    private final MembershipContext context;
    private final SeedRecords seedRecords;
    private final Set<InetSocketAddress> recordAddresses = new LinkedHashSet<>();
    private boolean anyAnswered;
    private long contactDelay;
    private long nextContact;
    private long readDelay;
    private long nextRead;

    PeerFinder(MembershipContext context, SeedRecords seedRecords) {
        this.context = context;
        this.seedRecords = seedRecords;
    }

    void start() {
        resetDelays(context.now());
    }

    /** Whether no node has answered since the start or within {@link #ISOLATED_AFTER}. */
    boolean isIsolated(long now) {
        return !anyAnswered || now - context.prober().lastAckAt() > ISOLATED_AFTER.toNanos();
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
            seedRecords.read(read -> read.ifPresent(found -> onRecord(found.record())));
        }
    }

    /** Probes the address, at which there may be a node that is unknown to this node. */
    void contact(InetSocketAddress address) {
        if (address.equals(self())) {
            return;
        }
        context.prober().probe(address, new Prober.ProbeListener() {
            @Override
            public void answered(NodeId by) {
                anyAnswered = true;
            }

            @Override
            public void unanswered() {
                // The tick retries when the next contact is due.
            }
        });
    }

    /** Records that a node has answered. */
    void onAck() {
        anyAnswered = true;
    }

    private void onRecord(SeedRecord record) {
        recordAddresses.clear();
        for (SeedCentre centre : record.getCentresList()) {
            for (SeedAddress address : centre.getAddressesList()) {
                decode(address).ifPresent(recordAddresses::add);
            }
        }
        contactSome();
    }

    /** Decodes the address; empty if it is invalid. */
    static Optional<InetSocketAddress> decode(SeedAddress address) {
        try {
            return Optional.of(MembershipCodec.address(address.getAddress(), address.getPort()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void contactSome() {
        Set<InetSocketAddress> candidates =
                new LinkedHashSet<>(context.settings().seeds());
        candidates.addAll(recordAddresses);
        candidates.remove(self());
        List<InetSocketAddress> remaining = new ArrayList<>(candidates);
        for (int i = 0; i < CONTACTS_PER_ATTEMPT && !remaining.isEmpty(); i++) {
            contact(remaining.remove(context.random().nextInt(remaining.size())));
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

    /** Returns a random delay between half and one and a half times the given delay. */
    private long jittered(long delay) {
        return Jitter.around(Duration.ofNanos(delay), context.random()).toNanos();
    }
}
