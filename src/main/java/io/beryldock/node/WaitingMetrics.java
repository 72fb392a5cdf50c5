package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import io.beryldock.waiting.WaitingSnapshot;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Registers the metrics of requests that wait for admission at their entry node; values are read when they are scraped.
 *
 * <p>Stateless, thread safe. The values of labels are bounded: ranks and causes.
 */
final class WaitingMetrics {

    private static final String PREFIX = "beryldock_waiting_";
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private WaitingMetrics() {}

    static void register(PrometheusRegistry registry, Supplier<WaitingSnapshot> waiting) {
        GaugeWithCallback.builder()
                .name(PREFIX + "requests")
                .help("requests of callers that wait at this entry for room beneath, by rank")
                .labelNames("rank")
                .callback(callback -> {
                    ImmutableList<Integer> ranks = waiting.get().waitingByRank();
                    for (int rank = 0; rank < ranks.size(); rank++) {
                        callback.call(ranks.get(rank), String.valueOf(rank));
                    }
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name(PREFIX + "longest_seconds")
                .help("longest wait of a request that waits now")
                .callback(callback -> callback.call(seconds(waiting.get().longestWaitNanos())))
                .register(registry);
        CounterWithCallback.builder()
                .name(PREFIX + "covered_total")
                .help("requests that started when there was room for all that they need")
                .callback(callback -> callback.call((double) waiting.get().covered()))
                .register(registry);
        CounterWithCallback.builder()
                .name(PREFIX + "refused_total")
                .help("requests that were refused before they started, by cause")
                .labelNames("cause")
                .callback(callback ->
                        waiting.get().refused().forEach((cause, count) -> callback.call((double) count, cause.name())))
                .register(registry);
    }

    private static double seconds(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) / MILLIS_PER_SECOND;
    }
}
