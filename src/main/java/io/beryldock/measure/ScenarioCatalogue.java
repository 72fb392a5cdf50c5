package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import io.beryldock.settings.SettingsException;
import io.beryldock.settings.SettingsReader;
import java.io.IOException;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** The scenarios and topologies in the program's resources. Stateless, thread safe. */
public final class ScenarioCatalogue {

    /** Scenarios of {@code beryldock measure}. */
    public static final ImmutableList<String> NAMES = ImmutableList.of(
            "steady",
            "slow-holdings",
            "term-start",
            "dawn-surge",
            "retry-storm",
            "target-crash",
            "silent-connections",
            "store-down");

    private ScenarioCatalogue() {}

    static Scenario scenario(String name) throws SettingsException {
        return read("scenario-" + name, Scenario.class);
    }

    static Topology topology(String name) throws SettingsException {
        return read("topology-" + name, Topology.class);
    }

    private static <T> T read(String resource, Class<T> type) throws SettingsException {
        try {
            URL url = Resources.getResource(ScenarioCatalogue.class, resource + ".json");
            return SettingsReader.parse(Resources.toString(url, StandardCharsets.UTF_8), type);
        } catch (IllegalArgumentException | IOException e) {
            throw new SettingsException(resource, "one of " + String.join(", ", NAMES), "choose a known scenario");
        }
    }
}
