package io.beryldock.configuration;

import io.beryldock.call.ServiceName;

/**
 * What operators set for a service.
 *
 * <p>Immutable.
 *
 * @param slots the most requests that each of its targets runs at once, whatever the target announces
 */
public record ServiceSetting(ServiceName service, int slots) implements Setting {

    /** The highest cap that makes sense for one target. */
    public static final int MAX_SLOTS = 100_000;

    @Override
    public SettingKey key() {
        return SettingKey.service(service);
    }

    @Override
    public String text() {
        return "slots " + slots;
    }
}
