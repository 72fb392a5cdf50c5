package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.share.Claim;
import io.beryldock.share.Division;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims of one allocation round, summed by rank and party. Not thread safe.
 *
 * <p>Slots granted to a party are split among its claims in proportion to the slots that each claim wants.
 */
final class ClaimTable {

    private final Map<Key, Allocation> allocations = new LinkedHashMap<>();

    private record Key(int rank, Party party) {}

    /** Summed claim of one party at one rank, and the slots granted to it. */
    private static final class Allocation {
        private double weight = 1;
        private double wanted;
        private double granted;
    }

    /**
     * Adds a claim.
     *
     * @param weight weight of the party, as the number of entry nodes that it stands for; the largest weight added
     *     counts
     */
    void add(int rank, Party party, double weight, double slots) {
        Allocation allocation = allocations.computeIfAbsent(new Key(rank, party), key -> new Allocation());
        allocation.weight = Math.max(allocation.weight, weight);
        allocation.wanted += slots;
    }

    double wanted() {
        return allocations.values().stream()
                .mapToDouble(allocation -> allocation.wanted)
                .sum();
    }

    void divide(double slots, Division<Party> division) {
        List<Claim<Party>> claims = new ArrayList<>();
        allocations.forEach((key, allocation) ->
                claims.add(new Claim<>(key.party(), key.rank(), allocation.weight, allocation.wanted)));
        ImmutableList<Double> parts = division.divide(slots, claims);
        int next = 0;
        for (Allocation allocation : allocations.values()) {
            allocation.granted = parts.get(next++);
        }
    }

    /** Fraction of the party's claim that was granted, 0 to 1. */
    double grantedFraction(int rank, Party party) {
        Allocation allocation = allocations.get(new Key(rank, party));
        return allocation == null || allocation.wanted <= 0 ? 0 : Math.min(1, allocation.granted / allocation.wanted);
    }
}
