package io.beryldock.configuration;

/** Thrown if a setting is invalid; the message names the setting, the problem and the remedy. */
public final class ConfigurationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String setting;
    private final String remedy;

    private ConfigurationException(String setting, String problem, String remedy) {
        super(setting + ": " + problem + "; " + remedy);
        this.setting = setting;
        this.remedy = remedy;
    }

    public static ConfigurationException of(String setting, String problem, String remedy) {
        return new ConfigurationException(setting, problem, remedy);
    }

    /** Returns the invalid setting, for example {@code budget default}. */
    public String setting() {
        return setting;
    }

    public String remedy() {
        return remedy;
    }
}
