package io.beryldock.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.FollowerStats;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StoreMetricsTest {

    @Test
    void metricsTellLateAndMissedChangesApart() throws IOException {
        FollowerStats stats = new FollowerStats(
                "nodes/", true, Optional.of(TimeUnit.MILLISECONDS.toNanos(400)), 4, 20, 12, 5, 2, 1, 3);
        FollowerStats unverified = new FollowerStats("document", false, Optional.empty(), 1, 0, 0, 0, 0, 0, 0);
        PrometheusRegistry registry = new PrometheusRegistry();
        StoreMetrics.register(registry, () -> ImmutableList.of(stats, unverified), () -> 17);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        new PrometheusTextFormatWriter(false).write(text, registry.scrape());
        assertThat(text.toString(StandardCharsets.UTF_8))
                .contains("beryldock_configuration_version 17.0")
                .contains("beryldock_store_checked_age_seconds{prefix=\"nodes/\"} 0.4")
                .doesNotContain("beryldock_store_checked_age_seconds{prefix=\"document\"}")
                .contains("beryldock_store_watching{prefix=\"nodes/\"} 1.0")
                .contains("beryldock_store_watches_total{event=\"begun\",prefix=\"nodes/\"} 20.0")
                .contains("beryldock_store_watches_total{event=\"quiet\",prefix=\"nodes/\"} 5.0")
                .contains("beryldock_store_listings_total{prefix=\"document\"} 1.0")
                .contains("beryldock_store_missed_changes_total{prefix=\"nodes/\"} 3.0");
    }
}
