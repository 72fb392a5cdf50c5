package io.beryldock.credit;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Bounds the claims of a message: those beyond the largest are joined by rank. Stateless, thread safe. */
final class LargestClaims {

    private LargestClaims() {}

    /** Whom the joined claims of a rank are for. */
    static Claimant rankWide(Claimant claimant) {
        return new Claimant(claimant.rank(), Optional.empty());
    }

    /** The claims, largest first, at most so many before they are joined. */
    static ImmutableMap<Claimant, Double> of(Map<Claimant, Double> claims, int most) {
        List<Map.Entry<Claimant, Double>> sorted = claims.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .toList();
        Map<Claimant, Double> kept = new LinkedHashMap<>();
        for (int i = 0; i < sorted.size(); i++) {
            Claimant claimant = sorted.get(i).getKey();
            kept.merge(i < most ? claimant : rankWide(claimant), sorted.get(i).getValue(), Double::sum);
        }
        return ImmutableMap.copyOf(kept);
    }
}
