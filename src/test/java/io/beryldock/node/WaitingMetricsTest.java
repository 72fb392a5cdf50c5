package io.beryldock.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.waiting.RefusalCause;
import io.beryldock.waiting.WaitingSnapshot;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WaitingMetricsTest {

    @Test
    void metricsShowWaitingAndRefusedRequests() throws IOException {
        PrometheusRegistry registry = new PrometheusRegistry();
        WaitingSnapshot snapshot = new WaitingSnapshot(
                ImmutableList.of(0, 3),
                300,
                TimeUnit.MILLISECONDS.toNanos(250),
                17,
                ImmutableMap.of(RefusalCause.OVERFLOW, 2L),
                ImmutableList.of());
        WaitingMetrics.register(registry, () -> snapshot);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        new PrometheusTextFormatWriter(false).write(text, registry.scrape());
        assertThat(text.toString(StandardCharsets.UTF_8))
                .contains("beryldock_waiting_requests{rank=\"1\"} 3.0")
                .contains("beryldock_waiting_longest_seconds 0.25")
                .contains("beryldock_waiting_covered_total 17.0")
                .contains("beryldock_waiting_refused_total{cause=\"OVERFLOW\"} 2.0");
    }
}
