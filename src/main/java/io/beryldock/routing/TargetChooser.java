package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.Directory;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Chooses the target of a call. Thread safe. */
public final class TargetChooser {

    private final DataCentre own;
    private final RandomGenerator random;

    private TargetChooser(DataCentre own, RandomGenerator random) {
        this.own = own;
        this.random = random;
    }

    public static TargetChooser create(
            DataCentre own, RandomGenerator random, Ticker ticker, EventSink events, ChooserSettings settings) {
        return new TargetChooser(own, random);
    }

    /** A target for the next attempt; empty when no ready target is left. */
    public Optional<TargetRecord> choose(
            Directory directory, ServiceName service, Set<NodeId> excluded, Set<NodeId> drained) {
        List<TargetRecord> ready = directory.targetsOf(service).stream()
                .filter(t -> t.state() == TargetState.READY)
                .filter(t -> !excluded.contains(t.node().id()))
                .filter(t -> !drained.contains(t.node().id()))
                .toList();
        List<TargetRecord> near =
                ready.stream().filter(t -> t.node().dataCentre().equals(own)).toList();
        List<TargetRecord> from = near.isEmpty() ? ready : near;
        return from.isEmpty() ? Optional.empty() : Optional.of(from.get(random.nextInt(from.size())));
    }

    /** A call was sent to the target. */
    public void onStart(TargetRecord target) {}

    /** A call to the target ended. */
    public void onResult(TargetRecord target, CallResult result, long latencyNanos) {}

    /** The connection to the node was lost or stalls: its target gets no calls until the node answers again. */
    public void onNodeLost(NodeId node) {}

    /** The node answered on a connection. */
    public void onNodeAnswered(NodeId node) {}

    /** What is known of each target. */
    public ImmutableList<TargetHealth> snapshot() {
        return ImmutableList.of();
    }
}
