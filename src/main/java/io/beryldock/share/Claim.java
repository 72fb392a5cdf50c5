package io.beryldock.share;

import java.util.Objects;

/**
 * Claim of one claimant to a scarce resource. Immutable.
 *
 * @param claimant unit among which the resource is divided fairly, such as an organisation or an entry node
 * @param rank priority; rank 0 is served first
 * @param weight weight of the claimant among those of its rank, above 0
 * @param wanted amount, in the unit of the resource, 0 or more
 */
public record Claim<K>(K claimant, int rank, double weight, double wanted) {

    public Claim {
        Objects.requireNonNull(claimant, "claimant");
        if (weight <= 0 || wanted < 0) {
            throw new IllegalArgumentException(
                    "weight must be above 0 and the wanted amount 0 or more; claimant: " + claimant);
        }
    }
}
