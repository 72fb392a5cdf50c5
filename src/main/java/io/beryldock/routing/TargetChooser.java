package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.call.StartNotice;
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
 * Chooses the target of a call from the results of earlier calls of this node and the load reports of targets.
 *
 * <p>The local data centre comes first, then near ones, then other regions. Within a tier the cheaper of two random
 * targets is chosen, by the cost of the configured {@link Placement}. A failing target is ejected for a time, a target
 * that refuses calls gets fewer, and the share of a new target ramps up slowly. Only ready targets are chosen, and one
 * is chosen as long as any is neither excluded nor drained. State is kept for each service that this node calls.
 * Thread safe.
 */
public final class TargetChooser {

    private final Distances distances;
    private final RandomGenerator random;
    private final Ticker ticker;
    private final EventSink events;
    private final ChooserSettings settings;
    private final PeerNotices notices = new PeerNotices();
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
     * Chooses a target for the next attempt; empty when no ready target is left.
     *
     * @param excluded nodes that the call was already sent to
     * @param drained nodes that an operator drains
     */
    public Optional<TargetRecord> choose(
            Directory directory, ServiceName service, Set<NodeId> excluded, Set<NodeId> drained) {
        return choose(directory, service, excluded, drained, true);
    }

    /**
     * Chooses a target for the next attempt of a call that may or may not be used as a probe.
     *
     * @param mayProbe false keeps the call away from targets whose ejection no successful probe has ended yet, as long
     *     as there are others: a call that must not be repeated could end there with outcome UNKNOWN
     */
    public Optional<TargetRecord> choose(
            Directory directory, ServiceName service, Set<NodeId> excluded, Set<NodeId> drained, boolean mayProbe) {
        ImmutableList<TargetRecord> targets = directory.targetsOf(service);
        ServiceTargets state = services.get(service);
        if (state == null) {
            if (targets.isEmpty()) {
                return Optional.empty();
            }
            state = services.computeIfAbsent(service, name -> newService());
        }
        return state.choose(targets, new ChoiceConstraints(excluded, drained, mayProbe), ticker.nanos());
    }

    /**
     * Chooses a target that is known to have free slots, for a call that a full target has refused; empty when none is
     * known or load reports are not used.
     */
    public Optional<TargetRecord> chooseFree(ServiceName service, Set<NodeId> excluded, Set<NodeId> drained) {
        ServiceTargets state = services.get(service);
        if (state == null) {
            return Optional.empty();
        }
        return state.chooseFree(new ChoiceConstraints(excluded, drained, false), ticker.nanos());
    }

    private ServiceTargets newService() {
        return new ServiceTargets(distances, newRandom(), events, settings, ticker.nanos());
    }

    private synchronized RandomGenerator newRandom() {
        return new SplittableRandom(random.nextLong());
    }

    /** Records that a call was sent to the target; exactly one {@link #onResult} must follow. */
    public void onStart(TargetRecord target) {
        ServiceTargets state = services.get(target.service());
        if (state != null) {
            state.onStart(target, ticker.nanos());
        }
    }

    /** Records the result of a call of unknown kind. */
    public void onResult(TargetRecord target, CallResult result, long latencyNanos) {
        onResult(target, result, latencyNanos, CallKind.ANY);
    }

    /** What this node was told by answers of the target; empty if nothing, or nothing that still applies. */
    public Optional<StartNotice> noticeOf(TargetRecord target) {
        return notices.of(target.node().id());
    }

    /** Records the result of a call to the target. */
    public void onResult(TargetRecord target, CallResult result, long latencyNanos, CallKind kind) {
        result.load().ifPresent(load -> notices.onLoad(target.node().id(), load));
        ServiceTargets state = services.get(target.service());
        if (state != null) {
            state.onResult(target, result, latencyNanos, kind, ticker.nanos());
        }
    }

    /** Ejects the node's targets until a probe succeeds, since its connection was lost or makes no progress. */
    public void onNodeLost(NodeId node) {
        services.values().forEach(service -> service.onNodeLost(node, ticker.nanos()));
    }

    /** Lets the next call probe the node's targets, since the node answers on a connection again. */
    public void onNodeAnswered(NodeId node) {
        services.values().forEach(service -> service.onNodeAnswered(node, ticker.nanos()));
    }

    /** Records a measured round trip to a node of another data centre. */
    public void onRoundTrip(DataCentre other, long nanos) {
        distances.onRoundTrip(other, nanos);
    }

    /** Share of the service's calls that go to other data centres though the local one has healthy targets, 0 to 1. */
    public double spillShare(ServiceName service) {
        ServiceTargets state = services.get(service);
        return state == null ? 0 : state.spillShare(ticker.nanos());
    }

    /** Services that this node calls. */
    public ImmutableSet<ServiceName> services() {
        return ImmutableSet.copyOf(services.keySet());
    }

    /** The state of each target, ordered by service and node. */
    public ImmutableList<TargetHealth> snapshot() {
        ImmutableList.Builder<TargetHealth> list = ImmutableList.builder();
        services.values().forEach(service -> service.addHealth(list, ticker.nanos()));
        Comparator<TargetHealth> order =
                Comparator.comparing(TargetHealth::service).thenComparing(TargetHealth::node);
        return ImmutableList.sortedCopyOf(order, list.build());
    }
}
