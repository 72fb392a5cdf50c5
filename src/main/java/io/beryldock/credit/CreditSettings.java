package io.beryldock.credit;

/**
 * Settings of credits. Immutable.
 *
 * @param enabled whether entries of the deployment take credits for trees of calls; all its nodes must agree
 */
public record CreditSettings(boolean enabled) {

    /** Levels alone decide. */
    public static CreditSettings off() {
        return new CreditSettings(false);
    }

    /** Entries take credits while a service is short. */
    public static CreditSettings on() {
        return new CreditSettings(true);
    }
}
