package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The nodes and targets of one data centre in a {@link Directory}. Immutable.
 *
 * @param notReachable the reachability of each node that is not {@link Reachability#REACHABLE}
 */
record DirectoryPart(
        ImmutableMap<NodeId, NodeDescriptor> nodes,
        ImmutableMap<ServiceName, ImmutableList<TargetRecord>> targets,
        ImmutableMap<NodeId, Reachability> notReachable) {

    static DirectoryPart of(
            List<NodeDescriptor> nodes, List<TargetRecord> targets, Map<NodeId, Reachability> notReachable) {
        ImmutableMap.Builder<NodeId, NodeDescriptor> byId = ImmutableMap.builderWithExpectedSize(nodes.size());
        nodes.forEach(node -> byId.put(node.id(), node));
        Map<ServiceName, List<TargetRecord>> byService = new HashMap<>();
        targets.forEach(target -> byService
                .computeIfAbsent(target.service(), name -> new ArrayList<>())
                .add(target));
        ImmutableMap.Builder<ServiceName, ImmutableList<TargetRecord>> lists = ImmutableMap.builder();
        byService.forEach((name, list) -> lists.put(name, ImmutableList.copyOf(list)));
        return new DirectoryPart(byId.buildKeepingLast(), lists.build(), ImmutableMap.copyOf(notReachable));
    }
}
