package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import io.beryldock.share.Claim;
import io.beryldock.share.Division;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The claims of one round, summed by rank and party. Not thread safe.
 *
 * <p>What a party gets is divided among its claims in proportion to what they want.
 */
final class ClaimTable {

    private final Map<Key, Line> lines = new LinkedHashMap<>();

    private record Key(int rank, Party party) {}

    /** A party's claim and what it got. */
    private static final class Line {
        private double weight = 1;
        private double wanted;
        private double part;
    }

    /**
     * Adds a claim.
     *
     * @param weight of the party, as the number of entries that it stands for; the largest counts
     */
    void add(int rank, Party party, double weight, double slots) {
        Line line = lines.computeIfAbsent(new Key(rank, party), key -> new Line());
        line.weight = Math.max(line.weight, weight);
        line.wanted += slots;
    }

    double wanted() {
        return lines.values().stream().mapToDouble(line -> line.wanted).sum();
    }

    void divide(double slots, Division<Party> division) {
        List<Claim<Party>> claims = new ArrayList<>();
        lines.forEach((key, line) -> claims.add(new Claim<>(key.party(), key.rank(), line.weight, line.wanted)));
        ImmutableList<Double> parts = division.divide(slots, claims);
        int next = 0;
        for (Line line : lines.values()) {
            line.part = parts.get(next++);
        }
    }

    /** Part of what a claim of the party wants that it gets, 0 to 1. */
    double share(int rank, Party party) {
        Line line = lines.get(new Key(rank, party));
        return line == null || line.wanted <= 0 ? 0 : Math.min(1, line.part / line.wanted);
    }
}
