package io.beryldock.credit;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Bounds the number of claims in a message by merging all but the largest by rank. Stateless, thread safe. */
final class LargestClaims {

    private LargestClaims() {}

    /** Claimant that stands for the merged claims of a rank. */
    static Claimant rankWide(Claimant claimant) {
        return new Claimant(claimant.rank(), Optional.empty());
    }

    /** Keeps the {@code limit} largest claims, largest first, and merges the others by rank. */
    static ImmutableMap<Claimant, Double> of(Map<Claimant, Double> claims, int limit) {
        List<Map.Entry<Claimant, Double>> sorted = claims.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .toList();
        Map<Claimant, Double> kept = new LinkedHashMap<>();
        for (int i = 0; i < sorted.size(); i++) {
            Claimant claimant = sorted.get(i).getKey();
            kept.merge(i < limit ? claimant : rankWide(claimant), sorted.get(i).getValue(), Double::sum);
        }
        return ImmutableMap.copyOf(kept);
    }
}
