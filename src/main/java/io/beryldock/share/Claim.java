package io.beryldock.share;

import java.util.Objects;

/**
 * What one claimant would take of something scarce. Immutable.
 *
 * @param claimant whoever is served together, an organisation or an entry
 * @param rank 0 is served first
 * @param weight of the claimant among those of its rank
 * @param wanted in the unit of what is divided, 0 or more
 */
public record Claim<K>(K claimant, int rank, double weight, double wanted) {

    public Claim {
        Objects.requireNonNull(claimant, "claimant");
        if (weight <= 0 || wanted < 0) {
            throw new IllegalArgumentException("a claim has a weight above 0 and wants 0 or more: " + claimant);
        }
    }
}
