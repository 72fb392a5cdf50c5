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
 * Gives out what the gates of one service can serve, at the service's home in one data centre.
 *
 * <p>Homes in touch with each other divide the room of all among the claims of all by the same rule; each gives its own
 * entries their parts. What one knows of the others is up to a round old, so that a change of demand can be given out
 * twice for one round.
 *
 * <p>Invariants: what is given out is at most the slots of all homes in touch for the time that it is given for, and no
 * time is given out to an entry twice; the first round after {@link #HEARD_NANOS} of silence gives out nothing, as
 * another home may have. A pure decision; not thread safe.
 */
final class CreditHome {

    /** Homes that are silent for longer count no longer, neither their room nor their demand. */
    static final long HEARD_NANOS = Duration.ofSeconds(1).toNanos();

    /** Share of the targets that must be nearly full: with fewer, the others have room that nobody reports. */
    private static final double LEAST_REPORTING = 0.75;

    /** Claims told to other homes, which bounds the bytes of a summary. */
    private static final int MAX_CLAIMS = 32;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Division<Party> division;
    private final GateRoom room = new GateRoom();
    private final Map<NodeId, EntryClaim> claims = new LinkedHashMap<>();
    private final Map<NodeId, Heard> heard = new HashMap<>();
    private final double[] givenNanos = new double[PriorityClass.RANKS];
    private long roundNanos = CreditRound.SHORTEST_NANOS;
    private long openedAt;
    private long closedAt;
    private boolean everClosed;
    private double lastTotalWanted;
    private double lastTotalSlots;
    private int lastTargets;

    CreditHome(Division<Party> division) {
        this.division = division;
    }

    private record Heard(HomeSummary summary, long at) {}

    /**
     * What a round gives out.
     *
     * @param known whether the gates' room is known; if not, levels decide
     * @param isShort whether more is wanted than there is
     * @param granted slot time in nanoseconds for the claims of each entry, in their order
     */
    record Round(boolean known, boolean isShort, ImmutableMap<NodeId, ImmutableList<Double>> granted) {}

    void report(NodeId gate, GateRoom.Report report, long now) {
        room.report(gate, report, now);
    }

    /** The home of another data centre has answered. */
    void heard(NodeId home, HomeSummary summary, long now) {
        heard.put(home, new Heard(summary, now));
    }

    void open(long roundLength, long now) {
        openedAt = now;
        roundNanos = roundLength;
    }

    /** What an entry wants in the open round; a later word of it replaces the earlier. */
    void claim(NodeId entry, ImmutableList<WantedCredit> wanted, long now) {
        claims.computeIfAbsent(entry, added -> new EntryClaim()).claim(wanted, roundNanos, now);
    }

    /**
     * What other homes are told.
     *
     * <p>The claims of the open round count as soon as they are here: homes that become homes at the same time would
     * else each take the room of all.
     */
    HomeSummary summary(int targets, long now) {
        forgetOld(now);
        Map<Claimant, Double> wanted = new LinkedHashMap<>();
        claims.values()
                .forEach(claim ->
                        claim.wanted().forEach(part -> wanted.merge(part.claimant(), claim.slots(part), Double::sum)));
        return new HomeSummary(
                room.slots(now), targets, room.reporting(now), claims.size(), LargestClaims.of(wanted, MAX_CLAIMS));
    }

    private void forgetOld(long now) {
        heard.values().removeIf(home -> now - home.at() > HEARD_NANOS);
        claims.values().removeIf(claim -> !claim.counts(roundNanos, now));
    }

    /**
     * Ends the round.
     *
     * @param targets of the service in this data centre
     */
    Round close(int targets, long now) {
        forgetOld(now);
        claims.values().stream().filter(EntryClaim::isPending).forEach(claim -> claim.measure(roundNanos, now));
        double slots = room.slots(now);
        for (Heard home : heard.values()) {
            slots += home.summary().slots();
        }
        ClaimTable table = table();
        boolean isShort = table.wanted() > slots;
        boolean known = isKnown(targets, now);
        table.divide(known && !mayBeTakenOver() ? slots : 0, division);
        Round round = new Round(known, isShort, granted(table, now));
        remember(table, slots, targets, now);
        room.correct(isShort, now);
        return round;
    }

    /** Whether another home may have given out what this round would. */
    private boolean mayBeTakenOver() {
        return !everClosed || openedAt - closedAt > HEARD_NANOS;
    }

    private boolean isKnown(int ownTargets, long now) {
        int targets = ownTargets;
        int reporting = room.reporting(now);
        for (Heard home : heard.values()) {
            targets += home.summary().targets();
            reporting += home.summary().reporting();
        }
        return reporting > 0 && reporting >= LEAST_REPORTING * targets;
    }

    private ClaimTable table() {
        ClaimTable table = new ClaimTable();
        claims.forEach((entry, claim) -> claim.wanted()
                .forEach(part ->
                        table.add(part.claimant().rank(), Party.of(part.claimant(), entry), 1, claim.slots(part))));
        heard.forEach((home, known) -> known.summary()
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

    private ImmutableList<Double> granted(ClaimTable table, NodeId entry, ImmutableList<WantedCredit> wanted) {
        ImmutableList.Builder<Double> parts = ImmutableList.builder();
        for (WantedCredit part : wanted) {
            int rank = part.claimant().rank();
            double nanos = part.nanos() * table.share(rank, Party.of(part.claimant(), entry));
            givenNanos[rank] += nanos;
            parts.add(nanos);
        }
        return parts.build();
    }

    private void remember(ClaimTable table, double slots, int targets, long now) {
        lastTotalWanted = table.wanted();
        lastTotalSlots = slots;
        lastTargets = targets;
        closedAt = now;
        everClosed = true;
    }

    CreditSnapshot.HomeRow snapshot(String service, long now) {
        return new CreditSnapshot.HomeRow(
                service,
                room.slots(now),
                room.gain(),
                room.reporting(now),
                lastTargets,
                lastTotalWanted,
                lastTotalSlots,
                Arrays.stream(givenNanos)
                        .mapToObj(nanos -> nanos / NANOS_PER_MILLI)
                        .collect(ImmutableList.toImmutableList()));
    }
}
