package io.beryldock.credit;

import com.google.common.collect.ImmutableMap;
import io.beryldock.wire.CreditClaim;
import io.beryldock.wire.CreditSummary;

/**
 * What the home of a service in one data centre has and what its entries want. Immutable.
 *
 * @param slots that the gates can give
 * @param targets of the service in the data centre
 * @param reporting gates that are nearly full
 * @param entries that want something
 * @param wanted slots that would serve what is wanted
 */
record HomeSummary(double slots, int targets, int reporting, int entries, ImmutableMap<Claimant, Double> wanted) {

    private static final double THOUSANDTHS = 1000;

    CreditSummary encode() {
        CreditSummary.Builder summary = CreditSummary.newBuilder()
                .setMillislots((long) (slots * THOUSANDTHS))
                .setTargets(targets)
                .setReporting(reporting)
                .setEntries(entries);
        wanted.forEach((claimant, value) ->
                summary.addClaims(CreditMessenger.encode(claimant, (long) Math.ceil(value * THOUSANDTHS))));
        return summary.build();
    }

    static HomeSummary decode(CreditSummary summary) {
        ImmutableMap.Builder<Claimant, Double> wanted = ImmutableMap.builder();
        for (CreditClaim claim : summary.getClaimsList()) {
            wanted.put(CreditMessenger.claimant(claim), Math.max(0, claim.getWanted() / THOUSANDTHS));
        }
        return new HomeSummary(
                summary.getMillislots() / THOUSANDTHS,
                summary.getTargets(),
                summary.getReporting(),
                summary.getEntries(),
                wanted.buildKeepingLast());
    }
}
