package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Publishes the membership view to the traffic threads as a {@link Directory}.
 *
 * <p>Changes within a short delay are published together, and only the parts that changed are rebuilt. Invariant: a
 * directory contains exactly the live records. Confined to the control thread, except for {@link #directory()}.
 */
final class DirectoryPublisher {

    private static final Duration DELAY = Duration.ofMillis(50);

    private final MembershipView view;
    private final Function<HeldRecord, Reachability> reachability;
    private final Supplier<Set<DataCentre>> unreachable;
    private final BooleanSupplier refreshing;
    private final Map<DataCentre, DirectoryPart> parts = new LinkedHashMap<>();
    private final Set<DataCentre> changed = new LinkedHashSet<>();
    private final DirectoryFeed feed;

    DirectoryPublisher(
            MembershipView view,
            TimerService timers,
            Function<HeldRecord, Reachability> reachability,
            Supplier<Set<DataCentre>> unreachable,
            BooleanSupplier refreshing) {
        this.view = view;
        this.reachability = reachability;
        this.unreachable = unreachable;
        this.refreshing = refreshing;
        this.feed = new DirectoryFeed(timers, DELAY, this::build);
    }

    Directory directory() {
        return feed.directory();
    }

    TimerService.Subscription subscribe(Consumer<Directory> listener) {
        return feed.subscribe(listener);
    }

    /** Schedules publication after records of the data centre have changed. */
    void onChange(DataCentre centre) {
        changed.add(centre);
        onChange();
    }

    /** Schedules publication after a change that is not in a record, such as reachability. */
    void onChange() {
        feed.schedulePublish();
    }

    /** Publishes the current state immediately. */
    void publish() {
        feed.publish();
    }

    private Directory build() {
        for (DataCentre centre : changed) {
            parts.put(centre, buildPart(centre));
            parts.values().removeIf(part -> part.nodes().isEmpty());
        }
        changed.clear();
        return Directory.ofParts(parts, unreachable.get(), refreshing.getAsBoolean());
    }

    private DirectoryPart buildPart(DataCentre centre) {
        List<NodeDescriptor> nodes = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        Map<NodeId, Reachability> notReachable = new LinkedHashMap<>();
        for (HeldRecord held : view.members(centre)) {
            if (held.record().isLive()) {
                nodes.add(held.record().node());
                held.record().targetRecord().ifPresent(targets::add);
                Reachability current = reachability.apply(held);
                if (current != Reachability.REACHABLE) {
                    notReachable.put(held.id(), current);
                }
            }
        }
        return DirectoryPart.of(nodes, targets, notReachable);
    }
}
