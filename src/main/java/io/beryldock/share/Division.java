package io.beryldock.share;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Rule that divides an amount among claims. */
@FunctionalInterface
public interface Division<K> {

    /**
     * Returns the part of each claim, in the order of the claims.
     *
     * <p>No part exceeds the amount that its claim wants, and the sum of the parts does not exceed the divided amount.
     */
    ImmutableList<Double> divide(double amount, List<Claim<K>> claims);
}
