package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
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
 * Makes two views equal by their digests: what differs is narrowed down to data centres, then to buckets, then to
 * records, and only those are sent.
 *
 * <p>It mends what spreading lost, and gives a new node its first view. Digests come with pings and acknowledgements; a
 * difference that lasts starts a round with that neighbour. Invariant: one round of this node's own at a time, and a
 * bounded number a second for others, so that many new nodes at once do not keep a node from its work. Control thread
 * only.
 */
final class AntiEntropy {

    /** A difference gets that long to go by itself: news takes less to spread. */
    static final Duration PATIENCE = Duration.ofSeconds(3);

    private static final Duration MIN_INTERVAL = Duration.ofSeconds(5);
    private static final Duration ROUND_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DIFFERENCE_EXPIRY = Duration.ofSeconds(10);
    private static final int MAX_CENTRES = 4;
    private static final int MAX_SERVED_A_SECOND = 20;

    /** A difference to a neighbour: since when, and when it was seen last. */
    private record Difference(long since, long seen) {}

    /** A round in progress. Control thread only. */
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
    private boolean heardMember;
    private boolean eager = true;
    private long lastRound;
    private long servedSecond;
    private int served;

    /** Makes the synchronisation; {@code onComplete} runs when the view is whole for the first time or again. */
    AntiEntropy(MembershipContext context, Runnable onComplete) {
        this.context = context;
        this.view = context.view();
        this.sender = context.sender();
        this.onComplete = onComplete;
        this.lastRound = context.now();
    }

    /** Whether any node that has joined was heard since the start. */
    boolean hasHeardMember() {
        return heardMember;
    }

    /** Whether the view is being fetched, at the start or after a pause, and what it holds may be old. */
    boolean isRefreshing() {
        return eager;
    }

    /** Compares with the next neighbour heard of without waiting: the view is old after a pause. */
    void refresh() {
        eager = true;
        round = Optional.empty();
        differences.clear();
    }

    /** Takes the digest that came with a ping or acknowledgement of a node that has joined. */
    void onRoot(NodeId from, long root) {
        long now = context.now();
        heardMember = true;
        if (root == view.root()) {
            differences.remove(from);
            if (eager) {
                finish();
            }
            return;
        }
        Difference known = differences.get(from);
        differences.put(from, new Difference(known == null ? now : known.since(), now));
        if (eager && round.isEmpty()) {
            startRound(from, now);
        }
    }

    void tick(long now) {
        round.filter(open -> now - open.progressAt > ROUND_TIMEOUT.toNanos()).ifPresent(open -> {
            round = Optional.empty();
            differences.remove(open.partner);
        });
        differences.values().removeIf(difference -> now - difference.seen() > DIFFERENCE_EXPIRY.toNanos());
        if (round.isEmpty()) {
            nextPartner(now).ifPresent(partner -> startRound(partner, now));
        }
    }

    /** Answers the first step: says what differs, if anything does. */
    void onOffer(NodeId from, MembershipSyncOffer offer) {
        Optional<InetSocketAddress> to = address(from);
        if (to.isEmpty() || !mayServe()) {
            return;
        }
        Map<DataCentre, Long> theirs = new LinkedHashMap<>();
        for (MembershipCentreDigest digest : offer.getCentresList()) {
            theirs.put(DataCentre.of(digest.getDataCentre()), digest.getRoot());
        }
        MembershipSyncBuckets.Builder answer = MembershipSyncBuckets.newBuilder();
        for (DataCentre centre : centresToCompare(theirs)) {
            long their = theirs.getOrDefault(centre, 0L);
            if (their == view.root(centre)) {
                continue;
            }
            if (answer.getCentresCount() == MAX_CENTRES) {
                answer.setMore(true);
                break;
            }
            MembershipCentreBuckets.Builder buckets =
                    MembershipCentreBuckets.newBuilder().setDataCentre(centre.value());
            if (their != 0) {
                buckets.addAllBuckets(view.buckets(centre));
            }
            answer.addCentres(buckets);
        }
        sender.send(to.get(), MembershipMessage.newBuilder().setSyncBuckets(answer));
    }

    /** Takes the second step: asks for what differs. */
    void onBuckets(NodeId from, MembershipSyncBuckets buckets) {
        Optional<InetSocketAddress> to = address(from);
        if (to.isEmpty() || !isPartner(from)) {
            return;
        }
        if (buckets.getCentresCount() == 0) {
            endRound(from, false);
            return;
        }
        progress(buckets.getMore());
        MembershipSyncPull.Builder pull = MembershipSyncPull.newBuilder();
        for (MembershipCentreBuckets centre : buckets.getCentresList()) {
            pull.addCentres(pull(centre));
        }
        sender.send(to.get(), MembershipMessage.newBuilder().setSyncPull(pull));
    }

    /** Answers the third step: sends what the other side lacks, and says what this one lacks. */
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
            for (Held held : view.members(DataCentre.of(centre.getDataCentre()))) {
                boolean asked = buckets.isEmpty() || buckets.contains(CentreView.bucketOf(held));
                if (held.record().isLive() && asked && !theirs.remove(held.fingerprint())) {
                    missing.add(held.record());
                }
            }
            wanted.addAllWanted(theirs);
        }
        sender.sendRecords(to.get(), missing);
        sender.send(to.get(), MembershipMessage.newBuilder().setSyncWanted(wanted));
    }

    /** Takes the last step: sends what the other side lacks. */
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
        } else if (eager) {
            finish();
        }
    }

    private void finish() {
        eager = false;
        onComplete.run();
    }

    private void progress(boolean more) {
        round.ifPresent(open -> {
            open.progressAt = context.now();
            open.more = more;
        });
    }

    private Optional<NodeId> nextPartner(long now) {
        if (!eager && now - lastRound < MIN_INTERVAL.toNanos()) {
            return Optional.empty();
        }
        return differences.entrySet().stream()
                .filter(entry -> eager || now - entry.getValue().since() >= PATIENCE.toNanos())
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
        for (Held held : view.members(centre)) {
            boolean asked = buckets.isEmpty() || buckets.contains(CentreView.bucketOf(held));
            if (held.record().isLive() && asked) {
                pull.addHeld(held.fingerprint());
            }
        }
        return pull.build();
    }

    /** The own data centre first: a new node needs its neighbours before all else. */
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
            for (Held held : view.members(centre)) {
                if (held.record().isLive() && fingerprints.contains(held.fingerprint())) {
                    found.add(held.record());
                }
            }
        }
        return found;
    }

    private boolean mayServe() {
        long second = context.now() / Duration.ofSeconds(1).toNanos();
        if (second != servedSecond) {
            servedSecond = second;
            served = 0;
        }
        served++;
        return served <= MAX_SERVED_A_SECOND;
    }

    private boolean isPartner(NodeId id) {
        return round.filter(open -> open.partner.equals(id)).isPresent();
    }

    private Optional<InetSocketAddress> address(NodeId id) {
        return context.addressOf(id);
    }
}
