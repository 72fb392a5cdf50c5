package io.beryldock.node;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.FollowerStats;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Registers the metrics of how a node follows the platform's store; values are read when they are scraped.
 *
 * <p>Stateless, thread safe. The values of labels are bounded: prefixes and ends of watches.
 */
public final class StoreMetrics {

    private static final String PREFIX = "beryldock_store_";
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private StoreMetrics() {}

    /** Registers the metrics of all followed prefixes, and the version of the configuration in force. */
    public static void register(
            PrometheusRegistry registry,
            Supplier<ImmutableList<FollowerStats>> followers,
            DoubleSupplier configurationVersion) {
        GaugeWithCallback.builder()
                .name("beryldock_configuration_version")
                .help("version of the configuration in force")
                .callback(callback -> callback.call(configurationVersion.getAsDouble()))
                .register(registry);
        GaugeWithCallback.builder()
                .name(PREFIX + "checked_age_seconds")
                .help("time since the store provably held nothing that this node had not read; absent while unknown")
                .labelNames("prefix")
                .callback(callback -> followers
                        .get()
                        .forEach(stats ->
                                stats.checkedAgeNanos().ifPresent(age -> callback.call(seconds(age), stats.prefix()))))
                .register(registry);
        GaugeWithCallback.builder()
                .name(PREFIX + "watching")
                .help("1 if this node watches the prefix on behalf of its data centre")
                .labelNames("prefix")
                .callback(callback ->
                        followers.get().forEach(stats -> callback.call(stats.watching() ? 1 : 0, stats.prefix())))
                .register(registry);
        CounterWithCallback.builder()
                .name(PREFIX + "watches_total")
                .help("watches that this node began and their ends, by prefix")
                .labelNames("prefix", "event")
                .callback(callback -> followers.get().forEach(stats -> {
                    callback.call((double) stats.watches(), stats.prefix(), "begun");
                    callback.call((double) stats.watchesWithChanges(), stats.prefix(), "changed");
                    callback.call((double) stats.quietWatches(), stats.prefix(), "quiet");
                    callback.call((double) stats.failedWatches(), stats.prefix(), "failed");
                    callback.call((double) stats.replacedWatches(), stats.prefix(), "replaced");
                }))
                .register(registry);
        CounterWithCallback.builder()
                .name(PREFIX + "listings_total")
                .help("listings that this node began, by prefix")
                .labelNames("prefix")
                .callback(callback ->
                        followers.get().forEach(stats -> callback.call((double) stats.listings(), stats.prefix())))
                .register(registry);
        CounterWithCallback.builder()
                .name(PREFIX + "missed_changes_total")
                .help("changes that a listing showed and that neither a watch nor another node had reported")
                .labelNames("prefix")
                .callback(callback ->
                        followers.get().forEach(stats -> callback.call((double) stats.missedChanges(), stats.prefix())))
                .register(registry);
    }

    private static double seconds(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) / MILLIS_PER_SECOND;
    }
}
