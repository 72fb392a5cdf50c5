package io.beryldock.node;

import io.beryldock.admission.GateSnapshot;
import io.beryldock.credit.CreditNode;
import io.beryldock.forwarding.AnnouncedTarget;
import io.beryldock.forwarding.JoiningRequestHandler;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.forwarding.RetryTally;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.peer.PeerTransportStats;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.RetryLedger;
import io.beryldock.routing.TargetChooser;
import io.beryldock.routing.TargetHealth;
import io.beryldock.waiting.EntryWaiting;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * The metrics of a node, read from its components when they are scraped.
 *
 * <p>Thread safe. The values of labels are bounded: classes and services of the configuration, outcomes, reasons.
 * docs/METRICS.md explains how to react to unhealthy values.
 */
final class NodeMetrics {

    private static final String PREFIX = "beryldock_";

    private final PrometheusRegistry registry = new PrometheusRegistry();

    NodeMetrics(Parts parts) {
        registerRequests(parts.tally(), parts.joining());
        registerRetries(parts.retries(), parts.ledger());
        registerArrivals(parts.arrivals());
        registerTarget(parts.announcements());
        registerChooser(parts.chooser());
        registerPeers(parts.transport());
        CreditMetrics.register(registry, parts.credits());
        WaitingMetrics.register(registry, parts.waiting()::snapshot);
        gauge("configuration_version", "version of the configuration in force", parts.configurationVersion());
        gauge("known_nodes", "nodes in this node's view", parts.knownNodes());
    }

    /** The components whose metrics are read. */
    record Parts(
            RequestTally tally,
            JoiningRequestHandler joining,
            RetryTally retries,
            ArrivalControl arrivals,
            RetryLedger ledger,
            TargetAnnouncements announcements,
            TargetChooser chooser,
            NettyPeerTransport transport,
            CreditNode credits,
            EntryWaiting waiting,
            DoubleSupplier configurationVersion,
            DoubleSupplier knownNodes) {}

    PrometheusRegistry registry() {
        return registry;
    }

    private void registerRequests(RequestTally tally, JoiningRequestHandler joining) {
        CounterWithCallback.builder()
                .name(PREFIX + "requests_total")
                .help("root requests that entered here, by class and outcome")
                .labelNames("class", "outcome")
                .callback(callback -> tally.rows().forEach((name, row) -> {
                    callback.call((double) row.answered(), name, "answered");
                    callback.call((double) row.notRun(), name, "not_run");
                    callback.call((double) row.unknown(), name, "unknown");
                }))
                .register(registry);
        CounterWithCallback.builder()
                .name(PREFIX + "refusals_total")
                .help("root requests that ran nowhere, by class and reason")
                .labelNames("class", "reason")
                .callback(callback -> tally.rows()
                        .forEach((name, row) -> row.notRunByReason()
                                .forEach((reason, count) -> callback.call((double) count, name, reason.name()))))
                .register(registry);
        counter("joined_requests_total", "repeated requests that joined one in flight", joining::joined);
        gauge("requests_in_flight", "root requests without an end yet", tally::inFlight);
    }

    private void registerRetries(RetryTally retries, RetryLedger ledger) {
        CounterWithCallback.builder()
                .name(PREFIX + "retries_total")
                .help("retries between two services, granted or refused")
                .labelNames("caller", "service", "decision")
                .callback(callback -> retries.rows().forEach((pair, counts) -> {
                    String caller = pair.caller().value();
                    String service = pair.service().value();
                    callback.call((double) counts.granted(), caller, service, "granted");
                    callback.call((double) counts.refused(), caller, service, "refused");
                }))
                .register(registry);
        counter(
                "retry_invariant_violations_total",
                "broken invariants of the retry ledger; must be 0",
                ledger::violations);
    }

    private void registerArrivals(ArrivalControl arrivals) {
        CounterWithCallback.builder()
                .name(PREFIX + "target_arrivals_total")
                .help("calls to the target in this VM, sent or refused as repeats, by service and kind of arrival")
                .labelNames("service", "kind", "decision")
                .callback(callback -> arrivals.tally().rows().forEach((row, counts) -> {
                    String service = row.service().value();
                    String kind = row.kind().name().toLowerCase(Locale.ROOT);
                    callback.call((double) counts.sent(), service, kind, "sent");
                    callback.call((double) counts.refused(), service, kind, "refused");
                    callback.call((double) counts.unsent(), service, kind, "unsent");
                }))
                .register(registry);
    }

    private void registerTarget(TargetAnnouncements announcements) {
        gateGauge(announcements, "target_limit", "requests that the target may run at once", GateSnapshot::limit);
        gateGauge(announcements, "target_in_flight", "requests that the target runs", GateSnapshot::inFlight);
        gateGauge(announcements, "target_queued", "requests that wait for the target", GateSnapshot::queued);
        gateGauge(announcements, "target_level", "admission level, 0 to 1024", GateSnapshot::level);
        gateGauge(
                announcements,
                "target_leaving",
                "1 if the target says in its answers that it is leaving",
                gate -> gate.leaving() ? 1 : 0);
        gateGauge(
                announcements,
                "target_rate_limit",
                "requests per second that the target accepts by its answers, 0 without a limit",
                gate -> gate.isRateLimited() ? gate.ratePerSecond() : 0);
        counter(
                "target_rate_limited_total",
                "requests refused in this start of the target because it had used up its rate",
                () -> ofGate(announcements, GateSnapshot::rateLimited));
    }

    private void registerChooser(TargetChooser chooser) {
        chooserGauge(chooser, "callee_free_slots", "free slots that callees reported of late", TargetHealth::freeSlots);
        chooserGauge(
                chooser,
                "callee_targets_left_out",
                "targets that get no calls from this node",
                health -> health.condition() == TargetHealth.Condition.HEALTHY ? 0 : 1);
        GaugeWithCallback.builder()
                .name(PREFIX + "spill_share")
                .help("share of calls that leave the own data centre, 0 to 1")
                .labelNames("service")
                .callback(callback -> chooser.services()
                        .forEach(service -> callback.call(chooser.spillShare(service), service.value())))
                .register(registry);
    }

    /** Registers a gauge with the sum over the targets of each service that this node calls. */
    private void chooserGauge(TargetChooser chooser, String name, String help, ToDoubleFunction<TargetHealth> value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames("service")
                .callback(callback -> chooser.snapshot().stream()
                        .collect(Collectors.groupingBy(
                                health -> health.service().value(), Collectors.summingDouble(value)))
                        .forEach((service, sum) -> callback.call(sum, service)))
                .register(registry);
    }

    /** Registers a gauge of the gate before the target in this VM; 0 while there is no target. */
    private void gateGauge(
            TargetAnnouncements announcements, String name, String help, ToDoubleFunction<GateSnapshot> value) {
        gauge(name, help, () -> ofGate(announcements, value));
    }

    private static double ofGate(TargetAnnouncements announcements, ToDoubleFunction<GateSnapshot> value) {
        return announcements
                .current()
                .map(AnnouncedTarget::gate)
                .map(gate -> value.applyAsDouble(gate.snapshot()))
                .orElse(0.0);
    }

    private void registerPeers(NettyPeerTransport transport) {
        peerCounter(transport, "peer_received_bytes_total", "bytes from other nodes", PeerTransportStats::bytesIn);
        peerCounter(transport, "peer_sent_bytes_total", "bytes to other nodes", PeerTransportStats::bytesOut);
        peerCounter(
                transport,
                "peer_stalled_connections_total",
                "connections given up without progress",
                PeerTransportStats::stalled);
        peerCounter(
                transport,
                "peer_dropped_replies_total",
                "replies that matched no request",
                PeerTransportStats::droppedReplies);
    }

    private void peerCounter(
            NettyPeerTransport transport, String name, String help, ToDoubleFunction<PeerTransportStats> value) {
        counter(name, help, () -> value.applyAsDouble(transport.stats()));
    }

    private void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    private void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }
}
