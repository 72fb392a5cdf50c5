package io.beryldock.forwarding;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationTable;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides whether a caller may use a route, and for which organisation.
 *
 * <p>Guards against a revoked key that still opens routes at a node that could not learn of the revocation: one that is
 * partitioned, refused by the store, suspended or just started. A key is valid only while the node knows that its
 * configuration was the newest within the time that operators allow. The check happens after the request has arrived,
 * so a request that is sent later than that time after the revocation reaches a node that either knows of it or refuses
 * the request. Thread safe.
 */
public final class CallerAccess {

    /** Retry-After while this node can't tell whether keys are valid; it asks for the newest version each second. */
    private static final long UNCERTAIN_RETRY_MILLIS = 400;

    private final Supplier<Optional<Long>> knownAge;
    private final long boundNanos;

    private CallerAccess(Supplier<Optional<Long>> knownAge, long boundNanos) {
        this.knownAge = knownAge;
        this.boundNanos = boundNanos;
    }

    /**
     * Creates a check that accepts keys while the configuration is known to be recent.
     *
     * @param knownAge how long ago the configuration in force was certainly the newest, in nanoseconds; empty when that
     *     is not known
     * @param bound time after which a revoked key opens no route at any node; empty for no bound
     */
    public static CallerAccess create(Supplier<Optional<Long>> knownAge, Optional<Duration> bound) {
        return new CallerAccess(knownAge, bound.map(Duration::toNanos).orElse(Long.MAX_VALUE));
    }

    /** Creates a check that accepts all keys of the configuration, whatever its age. */
    public static CallerAccess unbounded() {
        return create(() -> Optional.of(0L), Optional.empty());
    }

    /**
     * The result of a check. Immutable.
     *
     * @param refusal why the caller may not use the route; empty when it may
     * @param organisation the organisation for which the caller uses the route
     */
    public record Access(Optional<CallResult> refusal, Optional<Organisation> organisation) {

        static Access granted(Optional<Organisation> organisation) {
            return new Access(Optional.empty(), organisation);
        }

        static Access refused(Reason reason, String detail) {
            return new Access(Optional.of(CallResult.notRun(reason, detail)), Optional.empty());
        }
    }

    /**
     * Checks the keys that a request carries.
     *
     * @param open whether the route needs no key
     */
    Access check(OrganisationTable table, boolean open, ImmutableList<String> credentials) {
        if (table.isEmpty()) {
            return Access.granted(Optional.empty());
        }
        Optional<Organisation> holder =
                credentials.size() == 1 ? table.findByKey(credentials.get(0)) : Optional.empty();
        if (open) {
            return Access.granted(isCertain() ? holder : Optional.empty());
        }
        if (!isCertain()) {
            return new Access(Optional.of(uncertain()), Optional.empty());
        }
        if (holder.isPresent()) {
            return Access.granted(holder);
        }
        return Access.refused(Reason.UNKNOWN_KEY, credentials.isEmpty() ? "no key" : "not a key of an organisation");
    }

    private boolean isCertain() {
        return boundNanos == Long.MAX_VALUE
                || knownAge.get().filter(age -> age < boundNanos).isPresent();
    }

    private static CallResult uncertain() {
        return CallResult.notRun(Reason.KEYS_UNCERTAIN, "the newest configuration may not be known here")
                .withRetryAfterMillis(UNCERTAIN_RETRY_MILLIS);
    }
}
