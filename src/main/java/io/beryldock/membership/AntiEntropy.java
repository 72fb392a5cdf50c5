package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import io.beryldock.wire.MembershipCentreBuckets;
import io.beryldock.wire.MembershipCentreDigest;
import io.beryldock.wire.MembershipCentrePull;
import io.beryldock.wire.MembershipMessage;
import io.beryldock.wire.MembershipSyncBuckets;
import io.beryldock.wire.MembershipSyncOffer;
import io.beryldock.wire.MembershipSyncPull;
import io.beryldock.wire.MembershipSyncWanted;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Synchronises the view of this node with that of a neighbour by comparing digests: a difference is narrowed down to
 * data centres, then to buckets, then to records, and only the differing records are sent.
 *
 * <p>Synchronisation repairs losses of gossip and gives a new node its first view. Digests arrive with pings and
 * acknowledgements; a lasting difference starts a round with that neighbour. Invariant: this node runs at most one
 * round of its own at a time and serves a bounded number of rounds per second for other nodes, so that many nodes
 * starting at once do not overload it. Confined to the control thread.
 */
final class AntiEntropy {

    /** Minimum age of a difference before a round starts; gossip resolves most differences sooner. */
    static final Duration MIN_DIFFERENCE_AGE = Duration.ofSeconds(3);

    private static final Duration MIN_INTERVAL = Duration.ofSeconds(5);
    private static final Duration ROUND_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DIFFERENCE_EXPIRY = Duration.ofSeconds(10);
    private static final int MAX_CENTRES_PER_STEP = 4;
    private static final int MAX_SERVED_PER_SECOND = 20;

    /** A difference from a neighbour's digest, with the monotonic times of the first and the latest observation. */
    private record Difference(long since, long lastSeen) {}

    /** A synchronisation round in progress. Confined to the control thread. */
    private static final class Round {
        private final NodeId partner;
        private long progressAt;
        private boolean more;

        Round(NodeId partner, long now) {
            this.partner = partner;
            this.progressAt = now;
        }
    }

    private final MembershipContext context;
    private final MembershipView view;
    private final MessageSender sender;
    private final Runnable onComplete;
    private final Map<NodeId, Difference> differences = new LinkedHashMap<>();
    private Optional<Round> round = Optional.empty();
    private boolean digestReceived;
    private boolean refreshing = true;
    private long lastRound;
    private long servedSecond;
    private int served;

    /**
     * Creates the synchronisation; {@code onComplete} runs each time the view has become complete, at the start or
     * after a refresh.
     */
    AntiEntropy(MembershipContext context, Runnable onComplete) {
        this.context = context;
        this.view = context.view();
        this.sender = context.sender();
        this.onComplete = onComplete;
        this.lastRound = context.now();
    }

    /** Whether a digest from a joined node has arrived since the start. */
    boolean hasReceivedDigest() {
        return digestReceived;
    }

    /** Whether the view is being fetched, at the start or after a pause, so that its records may be stale. */
    boolean isRefreshing() {
        return refreshing;
    }

    /**
     * Starts a round with the next neighbour whose digest arrives, without the usual delay, because the view is stale
     * after a pause.
     */
    void refresh() {
        refreshing = true;
        round = Optional.empty();
        differences.clear();
    }

    /** Handles the digest in a ping or acknowledgement of a joined node. */
    void onRoot(NodeId from, long root) {
        long now = context.now();
        digestReceived = true;
        if (root == view.root()) {
            differences.remove(from);
            if (refreshing) {
                finish();
            }
            return;
        }
        Difference known = differences.get(from);
        differences.put(from, new Difference(known == null ? now : known.since(), now));
        if (refreshing && round.isEmpty()) {
            startRound(from, now);
        }
    }

    void tick(long now) {
        round.filter(open -> now - open.progressAt > ROUND_TIMEOUT.toNanos()).ifPresent(open -> {
            round = Optional.empty();
            differences.remove(open.partner);
        });
        differences.values().removeIf(difference -> now - difference.lastSeen() > DIFFERENCE_EXPIRY.toNanos());
        if (round.isEmpty()) {
            nextPartner(now).ifPresent(partner -> startRound(partner, now));
        }
    }

    /** Handles the first step of a round by sending the buckets of the data centres that differ. */
    void onOffer(NodeId from, MembershipSyncOffer offer) {
        Optional<InetSocketAddress> to = address(from);
        if (to.isEmpty() || !tryServe()) {
            return;
        }
        Map<DataCentre, Long> theirs = new LinkedHashMap<>();
        for (MembershipCentreDigest digest : offer.getCentresList()) {
            theirs.put(DataCentre.of(digest.getDataCentre()), digest.getRoot());
        }
        MembershipSyncBuckets.Builder answer = MembershipSyncBuckets.newBuilder();
        for (DataCentre centre : centresToCompare(theirs)) {
            long theirRoot = theirs.getOrDefault(centre, 0L);
            if (theirRoot == view.root(centre)) {
                continue;
            }
            if (answer.getCentresCount() == MAX_CENTRES_PER_STEP) {
                answer.setMore(true);
                break;
            }
            MembershipCentreBuckets.Builder buckets =
                    MembershipCentreBuckets.newBuilder().setDataCentre(centre.value());
            if (theirRoot != 0) {
                buckets.addAllBuckets(view.buckets(centre));
            }
            answer.addCentres(buckets);
        }
        sender.send(to.get(), MembershipMessage.newBuilder().setSyncBuckets(answer));
    }

    /** Handles the second step of a round by requesting the records of the buckets that differ. */
    void onBuckets(NodeId from, MembershipSyncBuckets buckets) {
        Optional<InetSocketAddress> to = address(from);
        if (to.isEmpty() || !isPartner(from)) {
            return;
        }
        if (buckets.getCentresCount() == 0) {
            endRound(from, false);
            return;
        }
        onProgress(buckets.getMore());
        MembershipSyncPull.Builder pull = MembershipSyncPull.newBuilder();
        for (MembershipCentreBuckets centre : buckets.getCentresList()) {
            pull.addCentres(pull(centre));
        }
        sender.send(to.get(), MembershipMessage.newBuilder().setSyncPull(pull));
    }

    /**
     * Handles the third step of a round by sending the records that the other node lacks and the fingerprints of those
     * that this node lacks.
     */
    void onPull(NodeId from, MembershipSyncPull pull) {
        Optional<InetSocketAddress> to = address(from);
        if (to.isEmpty()) {
            return;
        }
        List<MemberRecord> missing = new ArrayList<>();
        MembershipSyncWanted.Builder wanted = MembershipSyncWanted.newBuilder();
        for (MembershipCentrePull centre : pull.getCentresList()) {
            Set<Integer> buckets = new HashSet<>(centre.getBucketsList());
            Set<Long> theirs = new HashSet<>(centre.getHeldList());
            for (HeldRecord local : view.members(DataCentre.of(centre.getDataCentre()))) {
                boolean requested = buckets.isEmpty() || buckets.contains(CentreView.bucketOf(local));
                if (local.record().isLive() && requested && !theirs.remove(local.fingerprint())) {
                    missing.add(local.record());
                }
            }
            wanted.addAllWanted(theirs);
        }
        sender.sendRecords(to.get(), missing);
        sender.send(to.get(), MembershipMessage.newBuilder().setSyncWanted(wanted));
    }

    /** Handles the last step of a round by sending the records that the other node lacks. */
    void onWanted(NodeId from, MembershipSyncWanted wanted) {
        Optional<InetSocketAddress> to = address(from);
        if (to.isEmpty() || !isPartner(from)) {
            return;
        }
        if (wanted.getWantedCount() > 0) {
            sender.sendRecords(to.get(), withFingerprints(new HashSet<>(wanted.getWantedList())));
        }
        boolean more = round.map(open -> open.more).orElse(false);
        endRound(from, more);
    }

    private void startRound(NodeId partner, long now) {
        address(partner).ifPresent(to -> {
            round = Optional.of(new Round(partner, now));
            lastRound = now;
            MembershipSyncOffer.Builder offer = MembershipSyncOffer.newBuilder();
            for (DataCentre centre : view.dataCentres()) {
                offer.addCentres(MembershipCentreDigest.newBuilder()
                        .setDataCentre(centre.value())
                        .setRoot(view.root(centre)));
            }
            sender.send(to, MembershipMessage.newBuilder().setSyncOffer(offer));
        });
    }

    private void endRound(NodeId partner, boolean more) {
        round = Optional.empty();
        differences.remove(partner);
        if (more) {
            startRound(partner, context.now());
        } else if (refreshing) {
            finish();
        }
    }

    private void finish() {
        refreshing = false;
        onComplete.run();
    }

    private void onProgress(boolean more) {
        round.ifPresent(open -> {
            open.progressAt = context.now();
            open.more = more;
        });
    }

    private Optional<NodeId> nextPartner(long now) {
        if (!refreshing && now - lastRound < MIN_INTERVAL.toNanos()) {
            return Optional.empty();
        }
        return differences.entrySet().stream()
                .filter(entry -> refreshing || now - entry.getValue().since() >= MIN_DIFFERENCE_AGE.toNanos())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private MembershipCentrePull pull(MembershipCentreBuckets theirs) {
        DataCentre centre = DataCentre.of(theirs.getDataCentre());
        MembershipCentrePull.Builder pull = MembershipCentrePull.newBuilder().setDataCentre(theirs.getDataCentre());
        List<Long> own = view.buckets(centre);
        for (int i = 0; i < Math.min(CentreView.BUCKETS, theirs.getBucketsCount()); i++) {
            if (theirs.getBuckets(i) != own.get(i)) {
                pull.addBuckets(i);
            }
        }
        Set<Integer> buckets = new HashSet<>(pull.getBucketsList());
        for (HeldRecord local : view.members(centre)) {
            boolean requested = buckets.isEmpty() || buckets.contains(CentreView.bucketOf(local));
            if (local.record().isLive() && requested) {
                pull.addHeld(local.fingerprint());
            }
        }
        return pull.build();
    }

    /**
     * Returns the data centres to compare, this node's own first because a new node needs its neighbours before all
     * other records.
     */
    private Set<DataCentre> centresToCompare(Map<DataCentre, Long> theirs) {
        Set<DataCentre> centres = new LinkedHashSet<>();
        centres.add(context.ownCentre());
        centres.addAll(theirs.keySet());
        centres.addAll(view.dataCentres());
        return centres;
    }

    private List<MemberRecord> withFingerprints(Set<Long> fingerprints) {
        List<MemberRecord> found = new ArrayList<>();
        for (DataCentre centre : view.dataCentres()) {
            for (HeldRecord local : view.members(centre)) {
                if (local.record().isLive() && fingerprints.contains(local.fingerprint())) {
                    found.add(local.record());
                }
            }
        }
        return found;
    }

    private boolean tryServe() {
        long second = context.now() / Duration.ofSeconds(1).toNanos();
        if (second != servedSecond) {
            servedSecond = second;
            served = 0;
        }
        served++;
        return served <= MAX_SERVED_PER_SECOND;
    }

    private boolean isPartner(NodeId id) {
        return round.filter(open -> open.partner.equals(id)).isPresent();
    }

    private Optional<InetSocketAddress> address(NodeId id) {
        return context.addressOf(id);
    }
}
