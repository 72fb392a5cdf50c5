package io.beryldock.credit;

import com.google.common.collect.ImmutableMap;
import io.beryldock.wire.CreditClaim;
import io.beryldock.wire.CreditSummary;

/**
 * Capacity and demand of one service in one data centre, as its home node reports them to other home nodes. Immutable.
 *
 * @param slots capacity of the gates
 * @param targets number of targets of the service in the data centre
 * @param reporting number of gates that are nearly full
 * @param entries number of entry nodes with claims
 * @param wanted number of slots that would serve the claims of each claimant
 */
record HomeSummary(double slots, int targets, int reporting, int entries, ImmutableMap<Claimant, Double> wanted) {

    private static final double MILLISLOTS_PER_SLOT = 1000;

    CreditSummary encode() {
        CreditSummary.Builder summary = CreditSummary.newBuilder()
                .setMillislots((long) (slots * MILLISLOTS_PER_SLOT))
                .setTargets(targets)
                .setReporting(reporting)
                .setEntries(entries);
        wanted.forEach((claimant, value) ->
                summary.addClaims(CreditMessenger.encode(claimant, (long) Math.ceil(value * MILLISLOTS_PER_SLOT))));
        return summary.build();
    }

    static HomeSummary decode(CreditSummary summary) {
        ImmutableMap.Builder<Claimant, Double> wanted = ImmutableMap.builder();
        for (CreditClaim claim : summary.getClaimsList()) {
            wanted.put(CreditMessenger.claimant(claim), Math.max(0, claim.getWanted() / MILLISLOTS_PER_SLOT));
        }
        return new HomeSummary(
                summary.getMillislots() / MILLISLOTS_PER_SLOT,
                summary.getTargets(),
                summary.getReporting(),
                summary.getEntries(),
                wanted.buildKeepingLast());
    }
}
