package io.beryldock.quota;

import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.time.TokenBucket;
import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets of the organisations whose home node in its data centre this node is.
 *
 * <p>Invariant: over all data centres, tokens are produced no faster than {@link QuotaTerms} allow, and they are moved
 * between data centres, never copied. Not thread safe.
 */
final class QuotaHome {

    /**
     * Divisor of the available tokens that limits one grant, so that other nodes that ask at the same time get some
     * too.
     */
    private static final int GRANT_DIVISOR = 4;

    /** Share of its capacity that a home node reserves for its own data centre when another one borrows. */
    private static final double RESERVED_SHARE = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final QuotaTerms terms;
    private final long startedAt;
    private final Map<OrganisationName, TokenBucket> buckets = new HashMap<>();

    QuotaHome(QuotaTerms terms, long now) {
        this.terms = terms;
        this.startedAt = now;
    }

    /** Grants tokens to a node of the same data centre. */
    int grant(Organisation organisation, int wanted, long now) {
        TokenBucket bucket = bucket(organisation, now);
        int share = (int) Math.max(1, Math.ceil(bucket.level(now) / GRANT_DIVISOR));
        return bucket.take(Math.min(wanted, share), now);
    }

    /** Lends the tokens that this data centre can spare to the home node of another one, which has run out. */
    int lend(Organisation organisation, long now) {
        TokenBucket bucket = bucket(organisation, now);
        double spare = bucket.level(now) - RESERVED_SHARE * bucket.capacity();
        return bucket.take((int) Math.ceil(spare), now);
    }

    /** Adds tokens that another data centre has lent or that a node has not used. */
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
     * Returns the bucket of the organisation, updated to the current terms of its quota.
     *
     * <p>A new bucket is at most half full, because the previous home node, which may just have failed, has already
     * granted its tokens. If this node has just started, it may itself be that previous home node, so the bucket holds
     * only the tokens produced since the start.
     */
    private TokenBucket bucket(Organisation organisation, long now) {
        double rate = terms.ratePerDataCentre(organisation.quota());
        double capacity = terms.capacityPerDataCentre(organisation.quota());
        TokenBucket existing = buckets.get(organisation.name());
        if (existing == null) {
            double sinceStart = rate * (now - startedAt) / NANOS_PER_SECOND;
            existing = new TokenBucket(rate, capacity, Math.min(capacity / 2, sinceStart), now);
            buckets.put(organisation.name(), existing);
        }
        existing.setRateAndCapacity(rate, capacity, now);
        return existing;
    }
}
