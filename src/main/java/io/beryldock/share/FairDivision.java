package io.beryldock.share;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Divides by rank and, within a rank, by weighted max-min fairness: a claim below its even part gets all that it wants,
 * and the remainder is divided evenly among the others.
 *
 * <p>Protects against claimants that want many times their usual amount: above its even part, a claim gains nothing by
 * being larger. No rank starves: each gets at least {@link #MIN_SHARE} of the share that all claims together can get.
 * Nothing is left over while a claim is not met in full, and the order of the claims has no effect. Stateless, thread
 * safe.
 */
public final class FairDivision<K> implements Division<K> {

    /**
     * Minimum share of each rank, relative to the share that all claims together can get. With a smaller value, callers
     * of the lowest ranks would receive nothing but refusals while a shortage lasts; with 1, ranks would have no
     * effect.
     */
    static final double MIN_SHARE = 0.4;

    private FairDivision() {}

    public static <K> FairDivision<K> create() {
        return new FairDivision<>();
    }

    @Override
    public ImmutableList<Double> divide(double amount, List<Claim<K>> claims) {
        SortedMap<Integer, List<Integer>> ranks = byRank(claims);
        double wanted =
                wanted(claims, ranks.values().stream().flatMap(List::stream).toList());
        Double[] parts = new Double[claims.size()];
        Arrays.fill(parts, 0.0);
        if (amount <= 0 || wanted <= 0) {
            return ImmutableList.copyOf(parts);
        }
        double least = MIN_SHARE * Math.min(1, amount / wanted);
        double left = amount;
        double wantedByLaterRanks = wanted;
        for (List<Integer> members : ranks.values()) {
            double wantedByRank = wanted(claims, members);
            wantedByLaterRanks = Math.max(0, wantedByLaterRanks - wantedByRank);
            double granted = Math.max(0, Math.min(wantedByRank, left - least * wantedByLaterRanks));
            waterFill(granted, claims, members, parts);
            left -= granted;
        }
        return ImmutableList.copyOf(parts);
    }

    private static <K> SortedMap<Integer, List<Integer>> byRank(List<Claim<K>> claims) {
        SortedMap<Integer, List<Integer>> ranks = new TreeMap<>();
        for (int i = 0; i < claims.size(); i++) {
            ranks.computeIfAbsent(claims.get(i).rank(), rank -> new ArrayList<>())
                    .add(i);
        }
        return ranks;
    }

    private static <K> double wanted(List<Claim<K>> claims, List<Integer> members) {
        return members.stream().mapToDouble(i -> claims.get(i).wanted()).sum();
    }

    /** Water filling: serves claims in ascending order of their wanted amount per weight. */
    private static <K> void waterFill(double amount, List<Claim<K>> claims, List<Integer> members, Double[] parts) {
        List<Integer> ascending = new ArrayList<>(members);
        ascending.sort(Comparator.comparingDouble(i -> wantedPerWeight(claims.get(i))));
        double left = amount;
        double weights =
                members.stream().mapToDouble(i -> claims.get(i).weight()).sum();
        for (int i : ascending) {
            Claim<K> claim = claims.get(i);
            double even = claim.weight() >= weights ? left : left * claim.weight() / weights;
            parts[i] = Math.min(claim.wanted(), even);
            left -= parts[i];
            weights -= claim.weight();
        }
    }

    private static <K> double wantedPerWeight(Claim<K> claim) {
        return claim.wanted() / claim.weight();
    }
}
