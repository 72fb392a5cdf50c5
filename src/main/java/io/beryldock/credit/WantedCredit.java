package io.beryldock.credit;

import java.util.Objects;

/**
 * Slot time of one service that is wanted for a claimant in the next round. Immutable.
 *
 * @param nanos 0 or more
 */
record WantedCredit(Claimant claimant, double nanos) {

    WantedCredit {
        Objects.requireNonNull(claimant, "claimant");
        if (!(nanos >= 0)) {
            throw new IllegalArgumentException("slot time that is wanted is 0 or more: " + nanos);
        }
    }
}
