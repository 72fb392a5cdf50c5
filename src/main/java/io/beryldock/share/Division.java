package io.beryldock.share;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** A way to divide an amount among claims. */
@FunctionalInterface
public interface Division<K> {

    /**
     * The part of each claim, in the order of the claims.
     *
     * <p>No part is above what its claim wants, and their sum is not above the amount.
     */
    ImmutableList<Double> divide(double amount, List<Claim<K>> claims);
}
