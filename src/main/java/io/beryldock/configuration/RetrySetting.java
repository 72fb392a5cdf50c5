package io.beryldock.configuration;

/**
 * A named retry budget.
 *
 * <p>Immutable.
 *
 * @param retries maximum number of retries that one root request may cause over its whole call tree
 * @param share retries from one service to another as a share of first tries, 0 to 1
 */
public record RetrySetting(String name, int retries, double share) implements Setting {

    /** Name of the budget that exists in every deployment; routes use it unless configured otherwise. */
    public static final String STANDARD = "standard";

    /** Maximum number of retries that a budget may grant to one root request. */
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
