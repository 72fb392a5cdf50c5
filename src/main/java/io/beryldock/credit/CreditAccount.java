package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What an entry knows and holds of one service that is short.
 *
 * <p>Invariants: at most one question to the home is open; what an answer grants counts once and from when it was asked
 * for. Not thread safe.
 */
final class CreditAccount {

    /** Hysteresis: levels open as soon as credits work, and without credits the overload would be back at once. */
    static final long SHORT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Rounds for which credits can be used: entries whose trees are few get whole ones by then. */
    static final int LIFE_ROUNDS = 5;

    /** Longest time without an answer of a home until levels decide: what a request can well wait. */
    private static final long GRACE_NANOS = Duration.ofMillis(350).toNanos();

    /** Claims in one question, which bounds its bytes; claimants beyond share a claim of their rank. */
    static final int MAX_CLAIMS = 8;

    /** Claimants told apart; those beyond share the credits of their rank. */
    private static final int MAX_CLAIMANTS = 256;

    /** Weight of one answer in the share that is granted: a shortage begins and ends within a second. */
    private static final double SHARE_WEIGHT = 0.25;

    /** What a claim is expected to get at least, so that the wait that is told to callers stays finite. */
    private static final double MIN_EXPECTED_SHARE = 0.02;

    private final Map<Claimant, Purse> purses = new HashMap<>();
    private final double[] grantedShare = new double[PriorityClass.RANKS];
    private final double[] grantedTotal = new double[PriorityClass.RANKS];
    private long shortUntil;
    private boolean homeKnows;
    private long graceUntil;
    private boolean moreWantedThanThere;
    private boolean asking;
    private long nextAskAt;
    private double roundNanos = CreditRound.SHORTEST_NANOS;

    CreditAccount(long now) {
        this.nextAskAt = now;
        this.shortUntil = now;
        this.graceUntil = now;
        Arrays.fill(grantedShare, 1);
    }

    /** Demand and credits of one claimant. */
    private record Purse(CreditDemand demand, CreditBalance balance) {

        double wanted(double roundNanos, boolean allGranted, long now) {
            double needed = demand.wanted(roundNanos, allGranted, now) + balance.debt();
            return Math.max(0, needed - balance.held(now));
        }
    }

    /** A level told that the service does not admit all. */
    void noteShort(long now) {
        shortUntil = now + SHORT_NANOS;
    }

    boolean isShort(long now) {
        return shortUntil - now > 0;
    }

    /** Whether trees need credits of the service. */
    boolean governs(long now) {
        return isShort(now) && (homeKnows || graceUntil - now > 0);
    }

    /** Whether the home's last answer told that it knows what the service can serve. */
    boolean homeKnows() {
        return homeKnows;
    }

    void demand(Claimant claimant, double nanos, long now) {
        purse(claimant, now).demand().ask(nanos);
    }

    boolean covers(Claimant claimant, double nanos, long now) {
        boolean covered = payer(claimant, nanos, now).isPresent();
        if (!covered) {
            purse(claimant, now).demand().miss(nanos);
        }
        return covered;
    }

    /** Takes what {@link #covers} has allowed. */
    void take(Claimant claimant, double nanos, long now) {
        payer(claimant, nanos, now).ifPresent(payer -> payer.balance().take(nanos));
        purse(claimant, now).demand().take(nanos);
    }

    /** The claimant itself, or what was granted to its rank together. */
    private Optional<Purse> payer(Claimant claimant, double nanos, long now) {
        Purse own = purse(claimant, now);
        if (own.balance().covers(nanos, now)) {
            return Optional.of(own);
        }
        return Optional.ofNullable(purses.get(LargestClaims.rankWide(claimant)))
                .filter(purse -> purse.balance().covers(nanos, now));
    }

    private Purse purse(Claimant claimant, long now) {
        Purse known = purses.get(claimant);
        if (known != null) {
            return known;
        }
        Claimant kept = purses.size() < MAX_CLAIMANTS ? claimant : LargestClaims.rankWide(claimant);
        return purses.computeIfAbsent(kept, added -> new Purse(new CreditDemand(now), new CreditBalance()));
    }

    void giveBack(Claimant claimant, double nanos, long now) {
        purse(claimant, now).balance().add(nanos, now + lifeNanos());
    }

    private long lifeNanos() {
        return (long) (LIFE_ROUNDS * roundNanos);
    }

    /** Whether the home is to be asked now. */
    boolean mayAsk(long now) {
        return !asking && isShort(now) && now - nextAskAt >= 0;
    }

    /** What is wanted in the next round; empty when there is nothing to ask for. */
    ImmutableList<WantedCredit> wanted(long now) {
        Map<Claimant, Double> wanted = new HashMap<>();
        purses.forEach((claimant, purse) -> {
            double nanos = purse.wanted(roundNanos, !moreWantedThanThere, now);
            if (nanos > 0) {
                wanted.put(claimant, nanos);
            }
        });
        return LargestClaims.of(wanted, MAX_CLAIMS).entrySet().stream()
                .map(entry -> new WantedCredit(entry.getKey(), entry.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    void onAsked() {
        asking = true;
    }

    /** The home answered that it knows what the service can serve. */
    void onGranted(
            ImmutableList<WantedCredit> wanted,
            ImmutableList<WantedCredit> granted,
            boolean isShort,
            double homeRoundNanos,
            long askedAt,
            long now) {
        asking = false;
        homeKnows = true;
        roundNanos = homeRoundNanos;
        moreWantedThanThere = isShort;
        if (isShort) {
            noteShort(now);
        }
        granted.forEach(part -> purse(part.claimant(), now).balance().add(part.nanos(), askedAt + lifeNanos()));
        measure(wanted, granted);
    }

    /** Ranks that asked for nothing keep their share: that nothing was granted to them tells nothing of the room. */
    private void measure(ImmutableList<WantedCredit> wanted, ImmutableList<WantedCredit> granted) {
        double[] asked = sums(wanted);
        double[] got = sums(granted);
        for (int rank = 0; rank < got.length; rank++) {
            grantedTotal[rank] += got[rank];
            if (asked[rank] > 0) {
                grantedShare[rank] += SHARE_WEIGHT * (got[rank] / asked[rank] - grantedShare[rank]);
            }
        }
    }

    private static double[] sums(ImmutableList<WantedCredit> parts) {
        double[] sums = new double[PriorityClass.RANKS];
        parts.forEach(part -> sums[part.claimant().rank()] += part.nanos());
        return sums;
    }

    /** The home is silent, or does not know what the service can serve: levels decide until it does. */
    void onUnknown(long now) {
        asking = false;
        homeKnows = false;
        nextAskAt = now + CreditRound.SHORTEST_NANOS;
    }

    /**
     * The home that was asked then is silent; the next one is asked at once.
     *
     * <p>Until that one has heard of the gates nothing starts: all that waits would else start together, and the gates
     * would have to turn most of it away.
     */
    void onSilent(long askedAt) {
        asking = false;
        if (homeKnows) {
            homeKnows = false;
            graceUntil = askedAt + GRACE_NANOS;
        }
    }

    /**
     * 0 while the credits held cover so much slot time; else the rounds until a claim of the rank is granted, whatever
     * the number ahead, as all that wait are claimed in the same round.
     */
    double expectedWaitNanos(int rank, double nanos, long now) {
        double held = 0;
        for (Map.Entry<Claimant, Purse> purse : purses.entrySet()) {
            held += purse.getKey().rank() <= rank ? purse.getValue().balance().held(now) : 0;
        }
        if (held >= nanos) {
            return 0;
        }
        // What is not granted in a round is asked for again, so that a claim takes as many rounds as its share is
        // small.
        return moreWantedThanThere ? roundNanos / Math.max(MIN_EXPECTED_SHARE, grantedShare[rank]) : roundNanos;
    }

    CreditSnapshot.EntryRow snapshot(String service, long now) {
        CreditSnapshot.ByRank byRank = new CreditSnapshot.ByRank();
        purses.forEach((claimant, purse) -> byRank.add(
                claimant.rank(),
                purse.demand().lastWanted(roundNanos),
                purse.balance().held(now),
                purse.balance().debt()));
        for (int rank = 0; rank < grantedTotal.length; rank++) {
            byRank.granted(rank, grantedTotal[rank]);
        }
        return new CreditSnapshot.EntryRow(service, governs(now), moreWantedThanThere, byRank.rows());
    }
}
