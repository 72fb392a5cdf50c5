package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.Directory;
import io.beryldock.membership.TargetRecord;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call, from what this node's own calls have shown.
 *
 * <p>Own data centre first, then near ones, then other regions; within a tier two random choices by calls in flight,
 * latency of late, time without progress and refusals. A target that fails is left out for a time, one that refuses
 * gets less, a new one comes to its share slowly. Only ready targets are chosen, and one is chosen as long as there is
 * any that is neither excluded nor drained. State exists for each service that this node calls. Thread safe.
 */
public final class TargetChooser {

    private final Distances distances;
    private final RandomGenerator random;
    private final Ticker ticker;
    private final EventSink events;
    private final ChooserSettings settings;
    private final ConcurrentMap<ServiceName, ServiceTargets> services = new ConcurrentHashMap<>();

    private TargetChooser(
            DataCentre own, RandomGenerator random, Ticker ticker, EventSink events, ChooserSettings settings) {
        this.distances = new Distances(own);
        this.random = random;
        this.ticker = ticker;
        this.events = events;
        this.settings = settings;
    }

    public static TargetChooser create(
            DataCentre own, RandomGenerator random, Ticker ticker, EventSink events, ChooserSettings settings) {
        return new TargetChooser(own, random, ticker, events, settings);
    }

    /**
     * A target for the next attempt; empty when no ready target is left.
     *
     * @param excluded nodes that the call was already sent to
     * @param drained nodes that an operator drains
     */
    public Optional<TargetRecord> choose(
            Directory directory, ServiceName service, Set<NodeId> excluded, Set<NodeId> drained) {
        return choose(directory, service, excluded, drained, true);
    }

    /**
     * A target for the next attempt of a call that may or may not be used as a probe.
     *
     * @param mayProbe false keeps the call from targets that were ejected and not proved well, as one that must not be
     *     repeated would end UNKNOWN there
     */
    public Optional<TargetRecord> choose(
            Directory directory, ServiceName service, Set<NodeId> excluded, Set<NodeId> drained, boolean mayProbe) {
        ImmutableList<TargetRecord> targets = directory.targetsOf(service);
        ServiceTargets known = services.get(service);
        if (known == null) {
            if (targets.isEmpty()) {
                return Optional.empty();
            }
            known = services.computeIfAbsent(service, name -> newService());
        }
        return known.choose(targets, new Barred(excluded, drained, mayProbe), ticker.nanos());
    }

    /**
     * A target with slots that are known to be free, for a call that a full target has refused; empty when none is
     * known or reports of load are not used.
     */
    public Optional<TargetRecord> chooseFree(ServiceName service, Set<NodeId> excluded, Set<NodeId> drained) {
        ServiceTargets known = services.get(service);
        if (known == null) {
            return Optional.empty();
        }
        return known.chooseFree(new Barred(excluded, drained, false), ticker.nanos());
    }

    private ServiceTargets newService() {
        return new ServiceTargets(distances, newRandom(), events, settings, ticker.nanos());
    }

    private synchronized RandomGenerator newRandom() {
        return new SplittableRandom(random.nextLong());
    }

    /** A call was sent to the target; each start is followed by one {@link #onResult}. */
    public void onStart(TargetRecord target) {
        ServiceTargets known = services.get(target.service());
        if (known != null) {
            known.onStart(target, ticker.nanos());
        }
    }

    /** A call of a kind that nothing is known of ended. */
    public void onResult(TargetRecord target, CallResult result, long latencyNanos) {
        onResult(target, result, latencyNanos, CallKind.ANY);
    }

    /** A call to the target ended. */
    public void onResult(TargetRecord target, CallResult result, long latencyNanos, CallKind kind) {
        ServiceTargets known = services.get(target.service());
        if (known != null) {
            known.onResult(target, result, latencyNanos, kind, ticker.nanos());
        }
    }

    /** The connection to the node was lost or makes no progress: its target gets no calls until a probe goes well. */
    public void onNodeLost(NodeId node) {
        services.values().forEach(service -> service.onNodeLost(node, ticker.nanos()));
    }

    /** The node answers on a connection again: its target is probed by the next call. */
    public void onNodeAnswered(NodeId node) {
        services.values().forEach(service -> service.onNodeAnswered(node, ticker.nanos()));
    }

    /** A round trip to a node of another data centre was measured. */
    public void onRoundTrip(DataCentre other, long nanos) {
        distances.onRoundTrip(other, nanos);
    }

    /** The share of the service's calls that leave the own data centre though it has healthy targets, 0 to 1. */
    public double spillShare(ServiceName service) {
        ServiceTargets known = services.get(service);
        return known == null ? 0 : known.spillShare(ticker.nanos());
    }

    /** Services that this node calls. */
    public ImmutableSet<ServiceName> services() {
        return ImmutableSet.copyOf(services.keySet());
    }

    /** What is known of each target, by service and node. */
    public ImmutableList<TargetHealth> snapshot() {
        ImmutableList.Builder<TargetHealth> list = ImmutableList.builder();
        services.values().forEach(service -> service.addHealth(list, ticker.nanos()));
        Comparator<TargetHealth> order =
                Comparator.comparing(TargetHealth::service).thenComparing(TargetHealth::node);
        return ImmutableList.sortedCopyOf(order, list.build());
    }
}
