package io.beryldock.credit;

import java.util.Objects;

/**
 * Slot time of one service for a claimant, as claimed for a round or granted in it. Immutable.
 *
 * @param nanos 0 or more
 */
record CreditAmount(Claimant claimant, double nanos) {

    CreditAmount {
        Objects.requireNonNull(claimant, "claimant");
        if (!(nanos >= 0)) {
            throw new IllegalArgumentException("slot time must be 0 or more: " + nanos);
        }
    }
}
