package io.beryldock.node;

import io.beryldock.credit.CreditNode;
import io.beryldock.credit.CreditSnapshot;
import io.beryldock.credit.CreditSnapshot.EntryRow;
import io.beryldock.credit.CreditSnapshot.HomeRow;
import io.beryldock.credit.CreditSnapshot.RankRow;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.ToDoubleFunction;

/** Registers the metrics of credits, whose values are read when they are scraped. Stateless, thread safe. */
final class CreditMetrics {

    private static final String PREFIX = "beryldock_credit_";

    private CreditMetrics() {}

    static void register(PrometheusRegistry registry, CreditNode credits) {
        rankGauge(
                registry,
                credits,
                "wanted_millis",
                "slot time that trees here want, by service and rank",
                RankRow::wanted);
        rankGauge(
                registry,
                credits,
                "held_millis",
                "slot time that this entry holds, by service and rank",
                RankRow::held);
        rankGauge(registry, credits, "debt_millis", "slot time used before it was granted", RankRow::debt);
        homeGauge(registry, credits, "home_slots", "slots that gates of this data centre can give", HomeRow::slots);
        homeGauge(registry, credits, "home_wanted_slots", "slots that all data centres in touch want", HomeRow::wanted);
        givenCounter(registry, credits);
    }

    private static void rankGauge(
            PrometheusRegistry registry,
            CreditNode credits,
            String name,
            String help,
            ToDoubleFunction<RankRow> value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames("service", "rank")
                .callback(callback -> {
                    for (EntryRow row : credits.snapshot().asEntry()) {
                        row.ranks()
                                .forEach(rank -> callback.call(
                                        value.applyAsDouble(rank), row.service(), Integer.toString(rank.rank())));
                    }
                })
                .register(registry);
    }

    private static void homeGauge(
            PrometheusRegistry registry,
            CreditNode credits,
            String name,
            String help,
            ToDoubleFunction<HomeRow> value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames("service")
                .callback(callback -> credits.snapshot()
                        .asHome()
                        .forEach(row -> callback.call(value.applyAsDouble(row), row.service())))
                .register(registry);
    }

    private static void givenCounter(PrometheusRegistry registry, CreditNode credits) {
        CounterWithCallback.builder()
                .name(PREFIX + "home_given_millis_total")
                .help("slot time given out by this node as a home, by service and rank")
                .labelNames("service", "rank")
                .callback(callback -> {
                    CreditSnapshot snapshot = credits.snapshot();
                    for (HomeRow row : snapshot.asHome()) {
                        for (int rank = 0; rank < row.givenMillis().size(); rank++) {
                            callback.call(row.givenMillis().get(rank), row.service(), Integer.toString(rank));
                        }
                    }
                })
                .register(registry);
    }
}
