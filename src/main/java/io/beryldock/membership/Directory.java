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
 * An immutable picture of all nodes and targets believed alive, read by traffic threads.
 *
 * <p>It may be old: the gate of a target is its own node, so a wrong entry costs an attempt, never a wrong run. It is
 * made of one part a data centre, so that a change replaces one part; what joins the parts is worked out on first use.
 * Nodes that do not answer stay in it while a partition may be the cause: {@link #reachability} tells. Thread safe.
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

    /** A directory of these nodes and targets, all reachable. */
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

    /** So many nodes drawn by chance, all there are when there are fewer; never the node with that id. */
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

    /** Every target of the service, whatever its state or data centre. */
    public ImmutableList<TargetRecord> targetsOf(ServiceName service) {
        ImmutableList<TargetRecord> known = byService.get(service);
        if (known != null) {
            return known;
        }
        ImmutableList<TargetRecord> joined = joinTargetsOf(service);
        if (!joined.isEmpty()) {
            // Unknown names are not kept: callers choose them, and could fill the memory with them.
            byService.put(service, joined);
        }
        return joined;
    }

    /** Whether the node is believed reached; a node that is not in the directory is unreachable. */
    public Reachability reachability(NodeDescriptor node) {
        DirectoryPart part = parts.get(node.dataCentre());
        if (part == null
                || unreachable.contains(node.dataCentre())
                || !part.nodes().containsKey(node.id())) {
            return Reachability.UNREACHABLE;
        }
        return part.doubtful().getOrDefault(node.id(), Reachability.REACHABLE);
    }

    public ImmutableSet<DataCentre> dataCentres() {
        return parts.keySet();
    }

    /** The data centres that answer none of this one's links; their targets are kept. */
    public ImmutableSet<DataCentre> unreachableDataCentres() {
        return unreachable;
    }

    /** Whether the view behind is being fetched anew, at the start or after a pause, so that this may be old. */
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
