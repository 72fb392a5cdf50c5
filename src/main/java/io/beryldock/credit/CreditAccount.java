package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Credit state of an entry node for one service in shortage.
 *
 * <p>Invariants: at most one question to the home node is pending; each grant is credited once, and its lifetime starts
 * when the question was sent. Not thread safe.
 */
final class CreditAccount {

    /**
     * Time for which a service stays in shortage after the last sign of it. This hysteresis is needed because admission
     * levels open as soon as credits take effect; without credits the overload would then be back at once.
     */
    static final long SHORTAGE_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Lifetime of credits in rounds: long enough for an entry node with few trees to collect the credits of a whole
     * tree.
     */
    static final int LIFETIME_ROUNDS = 5;

    /**
     * Longest time for which trees keep requiring credits without an answer from a home node, before admission levels
     * decide. Requests can tolerate a wait of this length.
     */
    private static final long GRACE_NANOS = Duration.ofMillis(350).toNanos();

    /**
     * Maximum number of claims in one question, which bounds its size. Further claimants share a claim of their rank.
     */
    static final int MAX_CLAIMS = 8;

    /** Maximum number of claimants that are tracked separately. Further claimants share the credits of their rank. */
    private static final int MAX_CLAIMANTS = 256;

    /** Weight of one answer in the moving average of the granted share. A shortage begins and ends within a second. */
    private static final double SHARE_WEIGHT = 0.25;

    /** Lower bound of the granted share in wait estimates, so that the wait reported to callers stays finite. */
    private static final double MIN_EXPECTED_SHARE = 0.02;

    private final Map<Claimant, ClaimantCredits> byClaimant = new HashMap<>();
    private final double[] grantedShare = new double[PriorityClass.RANKS];
    private final double[] grantedTotal = new double[PriorityClass.RANKS];
    private long shortUntil;
    private boolean homeKnowsCapacity;
    private long graceUntil;
    private boolean demandExceedsCapacity;
    private boolean questionPending;
    private long nextQuestionAt;
    private double roundNanos = CreditRound.MIN_NANOS;

    CreditAccount(long now) {
        this.nextQuestionAt = now;
        this.shortUntil = now;
        this.graceUntil = now;
        Arrays.fill(grantedShare, 1);
    }

    /** Demand and credit balance of one claimant. */
    private record ClaimantCredits(CreditDemand demand, CreditBalance balance) {

        double wanted(double roundNanos, boolean allGranted, long now) {
            double needed = demand.wanted(roundNanos, allGranted, now) + balance.debt();
            return Math.max(0, needed - balance.held(now));
        }
    }

    /** Records a sign of shortage, such as an admission level below open, and prolongs the shortage. */
    void markShort(long now) {
        shortUntil = now + SHORTAGE_NANOS;
    }

    boolean isShort(long now) {
        return shortUntil - now > 0;
    }

    /**
     * Whether trees require credits of the service: it is in shortage, and either its home node knows its capacity or
     * the grace period is running.
     */
    boolean requiresCredits(long now) {
        return isShort(now) && (homeKnowsCapacity || graceUntil - now > 0);
    }

    /** Whether the last answer of the home node said that it knows the capacity of the service. */
    boolean homeKnowsCapacity() {
        return homeKnowsCapacity;
    }

    void demand(Claimant claimant, double nanos, long now) {
        credits(claimant, now).demand().request(nanos);
    }

    boolean covers(Claimant claimant, double nanos, long now) {
        boolean covered = covering(claimant, nanos, now).isPresent();
        if (!covered) {
            credits(claimant, now).demand().miss(nanos);
        }
        return covered;
    }

    /** Spends slot time for which {@link #covers} returned true. */
    void take(Claimant claimant, double nanos, long now) {
        covering(claimant, nanos, now).ifPresent(covering -> covering.balance().take(nanos));
        credits(claimant, now).demand().take(nanos);
    }

    /**
     * Finds the credits that cover the slot time: those of the claimant itself, else those granted to its rank as a
     * whole.
     */
    private Optional<ClaimantCredits> covering(Claimant claimant, double nanos, long now) {
        ClaimantCredits own = credits(claimant, now);
        if (own.balance().covers(nanos, now)) {
            return Optional.of(own);
        }
        return Optional.ofNullable(byClaimant.get(LargestClaims.rankWide(claimant)))
                .filter(credits -> credits.balance().covers(nanos, now));
    }

    private ClaimantCredits credits(Claimant claimant, long now) {
        ClaimantCredits known = byClaimant.get(claimant);
        if (known != null) {
            return known;
        }
        Claimant tracked = byClaimant.size() < MAX_CLAIMANTS ? claimant : LargestClaims.rankWide(claimant);
        return byClaimant.computeIfAbsent(
                tracked, added -> new ClaimantCredits(new CreditDemand(now), new CreditBalance()));
    }

    void giveBack(Claimant claimant, double nanos, long now) {
        credits(claimant, now).balance().add(nanos, now + lifetimeNanos());
    }

    private long lifetimeNanos() {
        return (long) (LIFETIME_ROUNDS * roundNanos);
    }

    /** Whether a question to the home node is due. */
    boolean isQuestionDue(long now) {
        return !questionPending && isShort(now) && now - nextQuestionAt >= 0;
    }

    /** Slot time to claim for the next round; empty when there is nothing to claim. */
    ImmutableList<CreditAmount> wanted(long now) {
        Map<Claimant, Double> wanted = new HashMap<>();
        byClaimant.forEach((claimant, credits) -> {
            double nanos = credits.wanted(roundNanos, !demandExceedsCapacity, now);
            if (nanos > 0) {
                wanted.put(claimant, nanos);
            }
        });
        return LargestClaims.of(wanted, MAX_CLAIMS).entrySet().stream()
                .map(entry -> new CreditAmount(entry.getKey(), entry.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    void onQuestionSent() {
        questionPending = true;
    }

    /** Handles an answer of a home node that knows the capacity of the service. */
    void onGranted(
            ImmutableList<CreditAmount> wanted,
            ImmutableList<CreditAmount> granted,
            boolean isShort,
            double homeRoundNanos,
            long askedAt,
            long now) {
        questionPending = false;
        homeKnowsCapacity = true;
        roundNanos = homeRoundNanos;
        demandExceedsCapacity = isShort;
        if (isShort) {
            markShort(now);
        }
        granted.forEach(part -> credits(part.claimant(), now).balance().add(part.nanos(), askedAt + lifetimeNanos()));
        updateGrantedShare(wanted, granted);
    }

    /**
     * Updates the granted share of each rank. A rank without a claim keeps its share, because receiving no grant says
     * nothing about the capacity in that case.
     */
    private void updateGrantedShare(ImmutableList<CreditAmount> wanted, ImmutableList<CreditAmount> granted) {
        double[] asked = sums(wanted);
        double[] got = sums(granted);
        for (int rank = 0; rank < got.length; rank++) {
            grantedTotal[rank] += got[rank];
            if (asked[rank] > 0) {
                grantedShare[rank] += SHARE_WEIGHT * (got[rank] / asked[rank] - grantedShare[rank]);
            }
        }
    }

    private static double[] sums(ImmutableList<CreditAmount> parts) {
        double[] sums = new double[PriorityClass.RANKS];
        parts.forEach(part -> sums[part.claimant().rank()] += part.nanos());
        return sums;
    }

    /**
     * Handles the case that no home node is reachable or that it does not know the capacity of the service. Admission
     * levels decide until a home node knows it.
     */
    void onCapacityUnknown(long now) {
        questionPending = false;
        homeKnowsCapacity = false;
        nextQuestionAt = now + CreditRound.MIN_NANOS;
    }

    /**
     * Handles a home node that did not answer; the next home node is asked at once.
     *
     * <p>During the grace period trees still require credits, so that none starts before the new home node has received
     * reports of the gates. Otherwise all waiting trees would start together, and the gates would have to refuse most
     * of them.
     *
     * @param askedAt when the unanswered question was sent
     */
    void onHomeSilent(long askedAt) {
        questionPending = false;
        if (homeKnowsCapacity) {
            homeKnowsCapacity = false;
            graceUntil = askedAt + GRACE_NANOS;
        }
    }

    /**
     * Expected wait for the slot time: 0 while the credits of this and more important ranks cover it; else the time
     * until a claim of the rank is granted. The number of waiting trees does not change that time, because all of them
     * are claimed in the same round.
     */
    double expectedWaitNanos(int rank, double nanos, long now) {
        double held = 0;
        for (Map.Entry<Claimant, ClaimantCredits> credits : byClaimant.entrySet()) {
            held += credits.getKey().rank() <= rank
                    ? credits.getValue().balance().held(now)
                    : 0;
        }
        if (held >= nanos) {
            return 0;
        }
        // The part of a claim that is not granted is claimed again in the next round, so that a claim takes about
        // 1 / granted share rounds.
        return demandExceedsCapacity ? roundNanos / Math.max(MIN_EXPECTED_SHARE, grantedShare[rank]) : roundNanos;
    }

    CreditSnapshot.EntryRow snapshot(String service, long now) {
        CreditSnapshot.ByRank byRank = new CreditSnapshot.ByRank();
        byClaimant.forEach((claimant, credits) -> byRank.add(
                claimant.rank(),
                credits.demand().lastWanted(roundNanos),
                credits.balance().held(now),
                credits.balance().debt()));
        for (int rank = 0; rank < grantedTotal.length; rank++) {
            byRank.granted(rank, grantedTotal[rank]);
        }
        return new CreditSnapshot.EntryRow(service, requiresCredits(now), demandExceedsCapacity, byRank.rows());
    }
}
