package io.beryldock.configuration;

/** A setting is not acceptable; the message names the setting, what was expected and the remedy. */
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

    /** The setting at fault, for example {@code budget default}. */
    public String setting() {
        return setting;
    }

    public String remedy() {
        return remedy;
    }
}
