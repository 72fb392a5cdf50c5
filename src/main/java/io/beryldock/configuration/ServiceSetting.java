package io.beryldock.configuration;

import io.beryldock.call.ServiceName;

/**
 * The operators' setting for a service.
 *
 * <p>Immutable.
 *
 * @param slots maximum number of requests that each target of the service runs concurrently, whatever the target
 *     announces
 */
public record ServiceSetting(ServiceName service, int slots) implements Setting {

    /** Upper bound of a meaningful limit for one target. */
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
