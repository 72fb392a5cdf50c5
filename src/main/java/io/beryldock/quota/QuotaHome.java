package io.beryldock.quota;

import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import java.util.HashMap;
import java.util.Map;

/**
 * The buckets of the organisations whose home in its data centre this node is.
 *
 * <p>Invariant: over all data centres, tokens are made no faster than {@link QuotaTerms} say, and moved between them,
 * never copied. Not thread safe.
 */
final class QuotaHome {

    /** Part of what is there that one question can take: the others that ask at the same time get some too. */
    private static final int SHARES = 4;

    /** Part of its capacity that a home keeps for its own data centre when another asks. */
    private static final double KEPT_FROM_OTHERS = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final QuotaTerms terms;
    private final long startedAt;
    private final Map<OrganisationName, TokenBucket> buckets = new HashMap<>();

    QuotaHome(QuotaTerms terms, long now) {
        this.terms = terms;
        this.startedAt = now;
    }

    /** Tokens for a node of the same data centre. */
    int grant(Organisation organisation, int wanted, long now) {
        TokenBucket bucket = bucket(organisation, now);
        int share = (int) Math.max(1, Math.ceil(bucket.level(now) / SHARES));
        return bucket.take(Math.min(wanted, share), now);
    }

    /** Tokens for the home in another data centre, which has run out: what is to spare here. */
    int lend(Organisation organisation, long now) {
        TokenBucket bucket = bucket(organisation, now);
        double spare = bucket.level(now) - KEPT_FROM_OTHERS * bucket.capacity();
        return bucket.take((int) Math.ceil(spare), now);
    }

    /** Takes in what another data centre has given up, or what a node has not used. */
    void add(Organisation organisation, int tokens, long now) {
        bucket(organisation, now).add(tokens, now);
    }

    boolean isEmpty(Organisation organisation, long now) {
        return bucket(organisation, now).level(now) < 1;
    }

    long millisToNext(Organisation organisation, long now) {
        return bucket(organisation, now).millisToNext(now);
    }

    /**
     * The bucket, with the terms of the quota as it is now.
     *
     * <p>A new one is half full at most: the home before it, which may have died just now, has given its tokens out. A
     * home that has just started may itself be that one, and has only what came since.
     */
    private TokenBucket bucket(Organisation organisation, long now) {
        double rate = terms.partRate(organisation.quota());
        double capacity = terms.partCapacity(organisation.quota());
        TokenBucket known = buckets.get(organisation.name());
        if (known == null) {
            double sinceStart = rate * (now - startedAt) / NANOS_PER_SECOND;
            known = new TokenBucket(rate, capacity, Math.min(capacity / 2, sinceStart), now);
            buckets.put(organisation.name(), known);
        }
        known.setTerms(rate, capacity, now);
        return known;
    }
}
