package io.beryldock.credit;

/**
 * Settings of credits. Immutable.
 *
 * @param enabled whether entry nodes of the deployment take credits for call trees; must be the same on all nodes
 */
public record CreditSettings(boolean enabled) {

    /** Credits disabled: admission levels alone decide. */
    public static CreditSettings off() {
        return new CreditSettings(false);
    }

    /** Credits enabled: entry nodes take credits while a service is in shortage. */
    public static CreditSettings on() {
        return new CreditSettings(true);
    }
}
