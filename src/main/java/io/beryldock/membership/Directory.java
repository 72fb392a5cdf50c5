package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable picture of all nodes and targets believed alive, read by traffic threads.
 *
 * <p>It may be old: the gate of a target is its own node, so a wrong entry costs an attempt, never a wrong run.
 */
public final class Directory {

    private static final Directory EMPTY = new Directory(ImmutableMap.of(), ImmutableMap.of());

    private final ImmutableMap<NodeId, NodeDescriptor> nodes;
    private final ImmutableMap<ServiceName, ImmutableList<TargetRecord>> targets;

    private Directory(
            ImmutableMap<NodeId, NodeDescriptor> nodes,
            ImmutableMap<ServiceName, ImmutableList<TargetRecord>> targets) {
        this.nodes = nodes;
        this.targets = targets;
    }

    public static Directory empty() {
        return EMPTY;
    }

    public static Directory of(List<NodeDescriptor> nodes, List<TargetRecord> targets) {
        Map<NodeId, NodeDescriptor> byId = new HashMap<>();
        nodes.forEach(node -> byId.put(node.id(), node));
        Map<ServiceName, List<TargetRecord>> byService = new HashMap<>();
        targets.forEach(target -> byService
                .computeIfAbsent(target.service(), name -> new ArrayList<>())
                .add(target));
        ImmutableMap.Builder<ServiceName, ImmutableList<TargetRecord>> lists = ImmutableMap.builder();
        byService.forEach((name, list) -> lists.put(name, ImmutableList.copyOf(list)));
        return new Directory(ImmutableMap.copyOf(byId), lists.build());
    }

    public ImmutableMap<NodeId, NodeDescriptor> nodes() {
        return nodes;
    }

    public Optional<NodeDescriptor> node(NodeId id) {
        return Optional.ofNullable(nodes.get(id));
    }

    public ImmutableMap<ServiceName, ImmutableList<TargetRecord>> targets() {
        return targets;
    }

    /** Every target of the service, whatever its state or data centre. */
    public ImmutableList<TargetRecord> targetsOf(ServiceName service) {
        return targets.getOrDefault(service, ImmutableList.of());
    }
}
