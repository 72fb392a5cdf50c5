package io.beryldock.share;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Divides by rank and, within a rank, by weighted max-min: whoever wants less than its even part gets all it wants, and
 * what it leaves goes to the others in even parts.
 *
 * <p>Answers the load at which some ask for many times their usual: beyond its even part a claim gains nothing by being
 * larger. No rank starves: each gets at least {@link #LEAST_SHARE} of the share that all claims together can get.
 * Nothing is left over while a claim is unmet, and the order of the claims does not matter. Stateless, thread safe.
 */
public final class FairDivision<K> implements Division<K> {

    /**
     * Part of the share of all that each rank gets at least. Below it the callers of the lowest ranks see nothing but
     * refusals for as long as the shortage lasts; at 1 ranks would mean nothing.
     */
    static final double LEAST_SHARE = 0.4;

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
        double least = LEAST_SHARE * Math.min(1, amount / wanted);
        double left = amount;
        double wantedAfter = wanted;
        for (List<Integer> members : ranks.values()) {
            double wantedHere = wanted(claims, members);
            wantedAfter = Math.max(0, wantedAfter - wantedHere);
            double given = Math.max(0, Math.min(wantedHere, left - least * wantedAfter));
            fill(given, claims, members, parts);
            left -= given;
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

    /** Water filling: from the claim that wants least by weight to the one that wants most. */
    private static <K> void fill(double amount, List<Claim<K>> claims, List<Integer> members, Double[] parts) {
        List<Integer> rising = new ArrayList<>(members);
        rising.sort(Comparator.comparingDouble(i -> level(claims.get(i))));
        double left = amount;
        double weights =
                members.stream().mapToDouble(i -> claims.get(i).weight()).sum();
        for (int i : rising) {
            Claim<K> claim = claims.get(i);
            double even = claim.weight() >= weights ? left : left * claim.weight() / weights;
            parts[i] = Math.min(claim.wanted(), even);
            left -= parts[i];
            weights -= claim.weight();
        }
    }

    private static <K> double level(Claim<K> claim) {
        return claim.wanted() / claim.weight();
    }
}
