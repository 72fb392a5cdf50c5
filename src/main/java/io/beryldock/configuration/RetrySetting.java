package io.beryldock.configuration;

/**
 * A retry budget by its name.
 *
 * <p>Immutable.
 *
 * @param retries the most retries that one root request causes over its whole tree
 * @param share retries from one service to another as a share of first tries, 0 to 1
 */
public record RetrySetting(String name, int retries, double share) implements Setting {

    /** Name of the budget that every deployment starts with and that routes have unless told otherwise. */
    public static final String STANDARD = "standard";

    /** The most retries that a budget may grant to one root request. */
    public static final int MAX_RETRIES = 16;

    @Override
    public SettingKey key() {
        return SettingKey.budget(name);
    }

    @Override
    public String text() {
        return "retries " + retries + " share " + share;
    }
}
