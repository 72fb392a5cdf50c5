package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.node.StoreMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.Test;

final class MetricsEndpointTest {

    @Test
    void scrapeIsAnsweredWithPrometheusText() {
        PrometheusRegistry registry = new PrometheusRegistry();
        StoreMetrics.register(registry, ImmutableList::of, () -> 17);
        HttpAnswer answer = MetricsEndpoint.create(registry).answer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.headers().first("Content-Type").orElseThrow()).startsWith("text/plain");
        assertThat(answer.body().toStringUtf8()).contains("beryldock_configuration_version 17.0");
    }
}
