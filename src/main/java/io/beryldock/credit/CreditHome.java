package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.share.Division;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Allocates the capacity of one service's gates in one data centre. Runs on the service's home node there.
 *
 * <p>Home nodes that can reach each other divide the capacity of all data centres among the claims of all by the same
 * rule, and each of them grants its own entry nodes their parts. What a home node knows of the others is up to a round
 * old, so that a change of demand can be granted twice for one round.
 *
 * <p>Invariants: grants add up to at most the slots of all reachable home nodes for the time that they cover, and no
 * time is granted to an entry node twice. The first round, and the first after more than {@link #HOME_SILENCE_NANOS}
 * without a round, grants nothing, because another home node may have granted its time. No I/O; not thread safe.
 */
final class CreditHome {

    /** Silence after which a home node of another data centre is left out, with both its capacity and its demand. */
    static final long HOME_SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Minimum share of targets whose gates report that they are nearly full. With fewer, the other gates have capacity
     * that is not reported.
     */
    private static final double MIN_REPORTING_SHARE = 0.75;

    /** Maximum number of claims in a summary for other home nodes, which bounds its size. */
    private static final int MAX_CLAIMS = 32;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Division<Party> division;
    private final GateCapacity capacity = new GateCapacity();
    private final Map<NodeId, EntryClaim> claims = new LinkedHashMap<>();
    private final Map<NodeId, ReceivedSummary> remoteSummaries = new HashMap<>();
    private final double[] grantedNanos = new double[PriorityClass.RANKS];
    private long roundNanos = CreditRound.MIN_NANOS;
    private long openedAt;
    private long closedAt;
    private boolean hasClosedRound;
    private double lastTotalWanted;
    private double lastTotalSlots;
    private int lastTargets;

    CreditHome(Division<Party> division) {
        this.division = division;
    }

    private record ReceivedSummary(HomeSummary summary, long at) {}

    /**
     * Result of an allocation round.
     *
     * @param known whether the capacity of the gates is known; if not, admission levels decide
     * @param isShort whether claims exceed the capacity
     * @param granted slot time in nanoseconds for the claims of each entry node, in the order of the claims
     */
    record Round(boolean known, boolean isShort, ImmutableMap<NodeId, ImmutableList<Double>> granted) {}

    void report(NodeId gate, GateCapacity.Report report, long now) {
        capacity.report(gate, report, now);
    }

    /** Stores a summary from the home node of another data centre. */
    void onRemoteSummary(NodeId home, HomeSummary summary, long now) {
        remoteSummaries.put(home, new ReceivedSummary(summary, now));
    }

    void open(long roundLength, long now) {
        openedAt = now;
        roundNanos = roundLength;
    }

    /** Records the claims of an entry node for the open round; a later call replaces the earlier claims. */
    void claim(NodeId entry, ImmutableList<CreditAmount> wanted, long now) {
        claims.computeIfAbsent(entry, added -> new EntryClaim()).claim(wanted, roundNanos, now);
    }

    /**
     * Summary for the home nodes of other data centres.
     *
     * <p>Includes the claims of the open round: otherwise nodes that become home nodes at the same time would each
     * allocate the capacity of all data centres.
     */
    HomeSummary summary(int targets, long now) {
        removeExpired(now);
        Map<Claimant, Double> wanted = new LinkedHashMap<>();
        claims.values()
                .forEach(claim ->
                        claim.wanted().forEach(part -> wanted.merge(part.claimant(), claim.slots(part), Double::sum)));
        return new HomeSummary(
                capacity.slots(now),
                targets,
                capacity.reporting(now),
                claims.size(),
                LargestClaims.of(wanted, MAX_CLAIMS));
    }

    private void removeExpired(long now) {
        remoteSummaries.values().removeIf(home -> now - home.at() > HOME_SILENCE_NANOS);
        claims.values().removeIf(claim -> !claim.isCurrent(roundNanos, now));
    }

    /**
     * Closes the round and divides the capacity.
     *
     * @param targets number of targets of the service in this data centre
     */
    Round close(int targets, long now) {
        removeExpired(now);
        claims.values().stream().filter(EntryClaim::isPending).forEach(claim -> claim.updatePeriod(roundNanos, now));
        double slots = capacity.slots(now);
        for (ReceivedSummary home : remoteSummaries.values()) {
            slots += home.summary().slots();
        }
        ClaimTable table = table();
        boolean isShort = table.wanted() > slots;
        boolean known = isCapacityKnown(targets, now);
        table.divide(known && !mayOverlapOtherHome() ? slots : 0, division);
        Round round = new Round(known, isShort, granted(table, now));
        recordRound(table, slots, targets, now);
        capacity.updateGain(isShort, now);
        return round;
    }

    /** Whether another home node may already have granted the time of this round. */
    private boolean mayOverlapOtherHome() {
        return !hasClosedRound || openedAt - closedAt > HOME_SILENCE_NANOS;
    }

    private boolean isCapacityKnown(int ownTargets, long now) {
        int targets = ownTargets;
        int reporting = capacity.reporting(now);
        for (ReceivedSummary home : remoteSummaries.values()) {
            targets += home.summary().targets();
            reporting += home.summary().reporting();
        }
        return reporting > 0 && reporting >= MIN_REPORTING_SHARE * targets;
    }

    private ClaimTable table() {
        ClaimTable table = new ClaimTable();
        claims.forEach((entry, claim) -> claim.wanted()
                .forEach(part ->
                        table.add(part.claimant().rank(), Party.of(part.claimant(), entry), 1, claim.slots(part))));
        remoteSummaries.forEach((home, known) -> known.summary()
                .wanted()
                .forEach((claimant, slots) -> table.add(
                        claimant.rank(),
                        Party.of(claimant, home),
                        claimant.organisation().isPresent()
                                ? 1
                                : known.summary().entries(),
                        slots)));
        return table;
    }

    private ImmutableMap<NodeId, ImmutableList<Double>> granted(ClaimTable table, long now) {
        ImmutableMap.Builder<NodeId, ImmutableList<Double>> granted = ImmutableMap.builder();
        claims.forEach((entry, claim) -> {
            if (claim.isPending()) {
                granted.put(entry, granted(table, entry, claim.wanted()));
                claim.answered(now);
            }
        });
        return granted.buildOrThrow();
    }

    private ImmutableList<Double> granted(ClaimTable table, NodeId entry, ImmutableList<CreditAmount> wanted) {
        ImmutableList.Builder<Double> parts = ImmutableList.builder();
        for (CreditAmount part : wanted) {
            int rank = part.claimant().rank();
            double nanos = part.nanos() * table.grantedFraction(rank, Party.of(part.claimant(), entry));
            grantedNanos[rank] += nanos;
            parts.add(nanos);
        }
        return parts.build();
    }

    private void recordRound(ClaimTable table, double slots, int targets, long now) {
        lastTotalWanted = table.wanted();
        lastTotalSlots = slots;
        lastTargets = targets;
        closedAt = now;
        hasClosedRound = true;
    }

    CreditSnapshot.HomeRow snapshot(String service, long now) {
        return new CreditSnapshot.HomeRow(
                service,
                capacity.slots(now),
                capacity.gain(),
                capacity.reporting(now),
                lastTargets,
                lastTotalWanted,
                lastTotalSlots,
                Arrays.stream(grantedNanos)
                        .mapToObj(nanos -> nanos / NANOS_PER_MILLI)
                        .collect(ImmutableList.toImmutableList()));
    }
}
