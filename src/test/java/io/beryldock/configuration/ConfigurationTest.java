package io.beryldock.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.wire.ConfigurationEntry;
import io.beryldock.wire.ConfigurationKey;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationTest {

    private static Route route(String prefix, String service, String... methods) {
        return new Route(
                prefix,
                ImmutableSet.copyOf(methods),
                ServiceName.of(service),
                "browsing",
                true,
                Duration.ofSeconds(1),
                "standard");
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /, root",
        "GET, /ordersheet, root",
        "GET, /orders, reads",
        "GET, /orders?all=1, reads",
        "POST, /orders/7/lines, writes",
        "DELETE, /orders/7, root-delete",
        "GET, /orders/eu/9/9/9, europe",
        "POST, /orders/eu/9, writes",
        "POST, //orders///7, writes",
        "POST, /%6Frders/7, writes",
        "POST, /x/../orders, writes",
        "POST, /./orders/.., root",
    })
    void routeWithLongestPrefixThenNamedMethodIsFound(String method, String path, String service) {
        Configuration configuration = Configuration.of(
                "x",
                1,
                List.of(
                        route("/", "root"),
                        route("/orders", "reads", "GET"),
                        route("/orders", "writes", "POST", "PUT"),
                        route("/orders/eu", "europe", "GET"),
                        route("/", "root-delete", "DELETE")));
        assertThat(configuration.find(method, path).orElseThrow().service().value())
                .isEqualTo(service);
    }

    @Test
    void defaultsShedOrdersAndStartsLast() throws ConfigurationException {
        Configuration lists = Configuration.defaults("vandermeulen");
        Route order = lists.find("POST", "/orders").orElseThrow();
        assertThat(order.idempotent()).isFalse();
        assertThat(lists.priorityOf(order).rank()).isZero();
        assertThat(lists.budgetOf(order).retries()).isPositive();
        Configuration ovens = Configuration.defaults("karri-ember");
        Route start = ovens.find("POST", "/starts/oven-3").orElseThrow();
        assertThat(start.idempotent()).isFalse();
        assertThat(ovens.priorityOf(start).rank()).isZero();
        assertThat(ovens.find("GET", "/unknown")).isEmpty();
        assertThatThrownBy(() -> Configuration.defaults("x")).hasMessageContaining("karri-ember");
    }

    @Test
    void configurationIsUnchangedAfterJsonAndBinaryRoundTrip() throws ConfigurationException, IOException {
        List<Setting> settings = new ArrayList<>(
                Configuration.defaults("vandermeulen").settings().values());
        settings.add(new DrainSetting(NodeId.of("gent-a-1")));
        settings.add(new ServiceSetting(ServiceName.of("holdings"), 12));
        settings.add(new OpaqueSetting(9, "later", ByteString.copyFromUtf8("bytes")));
        Configuration all = Configuration.of("line", 7, settings);
        assertThat(Configuration.parse(all.toJson()).settings()).isEqualTo(all.settings());
        assertThat(Configuration.parse(all.toJson())).isEqualTo(all);
        assertThat(DocumentCodec.decode(DocumentCodec.encode(all, List.of())).configuration())
                .isEqualTo(all);
        assertThat(all.drained(NodeId.of("gent-a-1"))).isTrue();
        assertThat(all.service(ServiceName.of("holdings")).orElseThrow().slots())
                .isEqualTo(12);
    }

    /**
     * Guards against the permanent loss of an accepted setting during an upgrade: a newer node writes a kind of setting
     * that an older node does not know, and the older node drops the setting and sends the document on.
     */
    @Test
    void settingOfLaterReleaseIsKept() {
        ConfigurationEntry later = ConfigurationEntry.newBuilder()
                .setKey(ConfigurationKey.newBuilder().setKind(42).setName("a:b"))
                .setValue(ByteString.copyFromUtf8("?"))
                .build();
        Setting kept = SettingCodec.setting(later);
        assertThat(SettingCodec.entry(kept)).isEqualTo(later);
        Configuration with = FleetNode.defaults().with(SettingEdit.put(kept));
        assertThat(with.with(SettingEdit.remove(kept.key())).settings())
                .isEqualTo(FleetNode.defaults().settings());
    }

    @ParameterizedTest
    @CsvSource({
        "orders, browsing, standard, 1000, begin with a slash",
        "/orders/, browsing, standard, 1000, begin with a slash",
        "/a/../b, browsing, standard, 1000, begin with a slash",
        "/orders, nobody, standard, 1000, set class nobody",
        "/orders, browsing, nothing, 1000, set budget nothing",
        "/orders, browsing, standard, 0, give 1 to 600000",
    })
    void unacceptableRouteIsRejectedWithRemedy(
            String prefix, String priorityClass, String budget, long millis, String remedy) {
        Route route = new Route(
                prefix,
                ImmutableSet.of("GET"),
                ServiceName.of("orders"),
                priorityClass,
                true,
                Duration.ofMillis(millis),
                budget);
        assertThatThrownBy(() -> new ConfigurationChange.SetRoute(route).apply(FleetNode.defaults()))
                .isInstanceOf(ConfigurationException.class)
                .hasMessageContaining("route " + prefix)
                .hasMessageContaining(remedy);
    }

    @Test
    void unacceptableValuesAreRejectedWithRemedy() {
        assertRejected(new ConfigurationChange.SetClass("page", 8), "0 (shed last) to 7");
        assertRejected(new ConfigurationChange.SetBudget("standard", 17, 0.1), "give 0 to 16");
        assertRejected(new ConfigurationChange.SetBudget("standard", 1, Double.NaN), "from 0 to 1");
        assertRejected(new ConfigurationChange.SetLimit(ServiceName.of("lists"), 0), "give 1 to");
        assertRejected(new ConfigurationChange.Undrain(NodeId.of("n")), "is not set");
        assertRejected(
                new ConfigurationChange.MarkRoute("/nowhere", ImmutableSet.of(), false), "there is no such route");
        assertRejected(new ConfigurationChange.SetRoute(route("/orders", "x", "POST")), "names one of its methods");
    }

    private static void assertRejected(ConfigurationChange change, String message) {
        assertThatThrownBy(() -> change.apply(FleetNode.defaults()))
                .isInstanceOf(ConfigurationException.class)
                .hasMessageContaining(message);
    }
}
