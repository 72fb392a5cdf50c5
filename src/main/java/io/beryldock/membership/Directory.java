package io.beryldock.membership;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.random.RandomGenerator;

/**
 * An immutable snapshot of all nodes and targets believed to be alive, read by the traffic threads.
 *
 * <p>The snapshot may be stale: each request is admitted by the node of its target, so a wrong entry costs a failed
 * attempt but never leads to a wrong execution. It consists of one part per data centre, so that a change replaces one
 * part only; collections over all parts are computed on first use. Nodes that do not answer remain in the directory
 * while a partition may be the cause, see {@link #reachability}. Thread-safe.
 */
public final class Directory {

    private static final Directory EMPTY = new Directory(ImmutableMap.of(), ImmutableSet.of(), false);

    private final ImmutableMap<DataCentre, DirectoryPart> parts;
    private final ImmutableSet<DataCentre> unreachable;
    private final boolean refreshing;
    private final Supplier<ImmutableMap<NodeId, NodeDescriptor>> nodes = Suppliers.memoize(this::joinNodes);
    private final Supplier<ImmutableMap<ServiceName, ImmutableList<TargetRecord>>> targets =
            Suppliers.memoize(this::joinTargets);
    private final ConcurrentMap<ServiceName, ImmutableList<TargetRecord>> byService = new ConcurrentHashMap<>();

    private Directory(
            ImmutableMap<DataCentre, DirectoryPart> parts, ImmutableSet<DataCentre> unreachable, boolean refreshing) {
        this.parts = parts;
        this.unreachable = unreachable;
        this.refreshing = refreshing;
    }

    public static Directory empty() {
        return EMPTY;
    }

    /** Creates a directory of the given nodes and targets, all of them reachable. */
    public static Directory of(List<NodeDescriptor> nodes, List<TargetRecord> targets) {
        Map<DataCentre, List<NodeDescriptor>> nodesByCentre = new LinkedHashMap<>();
        nodes.forEach(node -> nodesByCentre
                .computeIfAbsent(node.dataCentre(), name -> new ArrayList<>())
                .add(node));
        Map<DataCentre, List<TargetRecord>> targetsByCentre = new LinkedHashMap<>();
        targets.forEach(target -> targetsByCentre
                .computeIfAbsent(target.node().dataCentre(), name -> new ArrayList<>())
                .add(target));
        Map<DataCentre, DirectoryPart> parts = new LinkedHashMap<>();
        ImmutableSet.<DataCentre>builder()
                .addAll(nodesByCentre.keySet())
                .addAll(targetsByCentre.keySet())
                .build()
                .forEach(centre -> parts.put(
                        centre,
                        DirectoryPart.of(
                                nodesByCentre.getOrDefault(centre, List.of()),
                                targetsByCentre.getOrDefault(centre, List.of()),
                                Map.of())));
        return ofParts(parts, Set.of(), false);
    }

    static Directory ofParts(Map<DataCentre, DirectoryPart> parts, Set<DataCentre> unreachable, boolean refreshing) {
        return new Directory(ImmutableMap.copyOf(parts), ImmutableSet.copyOf(unreachable), refreshing);
    }

    public ImmutableMap<NodeId, NodeDescriptor> nodes() {
        return nodes.get();
    }

    public Optional<NodeDescriptor> node(NodeId id) {
        for (DirectoryPart part : parts.values()) {
            NodeDescriptor node = part.nodes().get(id);
            if (node != null) {
                return Optional.of(node);
            }
        }
        return Optional.empty();
    }

    /** Returns up to {@code number} distinct nodes chosen at random, never the node with the id {@code self}. */
    public ImmutableList<NodeDescriptor> randomOthers(NodeId self, int number, RandomGenerator random) {
        List<NodeDescriptor> others = new ArrayList<>(nodes().values());
        others.removeIf(node -> node.id().equals(self));
        ImmutableList.Builder<NodeDescriptor> drawn = ImmutableList.builder();
        for (int i = 0; i < number && !others.isEmpty(); i++) {
            drawn.add(others.remove(random.nextInt(others.size())));
        }
        return drawn.build();
    }

    public ImmutableMap<ServiceName, ImmutableList<TargetRecord>> targets() {
        return targets.get();
    }

    /** Returns all targets of the service, regardless of state and data centre. */
    public ImmutableList<TargetRecord> targetsOf(ServiceName service) {
        ImmutableList<TargetRecord> known = byService.get(service);
        if (known != null) {
            return known;
        }
        ImmutableList<TargetRecord> joined = joinTargetsOf(service);
        if (!joined.isEmpty()) {
            // Unknown service names are not cached: callers choose them and could exhaust the memory.
            byService.put(service, joined);
        }
        return joined;
    }

    /** Returns the believed reachability of the node; a node that is not in the directory is unreachable. */
    public Reachability reachability(NodeDescriptor node) {
        DirectoryPart part = parts.get(node.dataCentre());
        if (part == null
                || unreachable.contains(node.dataCentre())
                || !part.nodes().containsKey(node.id())) {
            return Reachability.UNREACHABLE;
        }
        return part.notReachable().getOrDefault(node.id(), Reachability.REACHABLE);
    }

    public ImmutableSet<DataCentre> dataCentres() {
        return parts.keySet();
    }

    /** Returns the data centres that no link of this data centre reaches; their targets remain in the directory. */
    public ImmutableSet<DataCentre> unreachableDataCentres() {
        return unreachable;
    }

    /**
     * Whether the underlying view is being fetched, at the start or after a pause, so that this directory may be stale.
     */
    public boolean isRefreshing() {
        return refreshing;
    }

    private ImmutableMap<NodeId, NodeDescriptor> joinNodes() {
        ImmutableMap.Builder<NodeId, NodeDescriptor> all = ImmutableMap.builder();
        parts.values().forEach(part -> all.putAll(part.nodes()));
        return all.buildKeepingLast();
    }

    private ImmutableMap<ServiceName, ImmutableList<TargetRecord>> joinTargets() {
        ImmutableMap.Builder<ServiceName, ImmutableList<TargetRecord>> all = ImmutableMap.builder();
        parts.values().forEach(part -> part.targets().keySet().forEach(name -> all.put(name, targetsOf(name))));
        return all.buildKeepingLast();
    }

    private ImmutableList<TargetRecord> joinTargetsOf(ServiceName service) {
        ImmutableList.Builder<TargetRecord> joined = ImmutableList.builder();
        for (DirectoryPart part : parts.values()) {
            joined.addAll(part.targets().getOrDefault(service, ImmutableList.of()));
        }
        return joined.build();
    }
}
