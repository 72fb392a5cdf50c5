package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
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
 * Publishes the view to traffic as a {@link Directory}.
 *
 * <p>Changes that come together are published together, after a moment, and only the parts that changed are made anew.
 * Invariant: a directory holds the live records and no others. Control thread only, but for {@link #directory()}.
 */
final class DirectoryPublisher {

    private static final Duration DELAY = Duration.ofMillis(50);

    private final MembershipView view;
    private final Function<Held, Reachability> reachability;
    private final Supplier<Set<DataCentre>> unreachable;
    private final BooleanSupplier refreshing;
    private final Map<DataCentre, DirectoryPart> parts = new LinkedHashMap<>();
    private final Set<DataCentre> changed = new LinkedHashSet<>();
    private final DirectoryFeed feed;

    DirectoryPublisher(
            MembershipView view,
            TimerService timers,
            Function<Held, Reachability> reachability,
            Supplier<Set<DataCentre>> unreachable,
            BooleanSupplier refreshing) {
        this.view = view;
        this.reachability = reachability;
        this.unreachable = unreachable;
        this.refreshing = refreshing;
        this.feed = new DirectoryFeed(timers, DELAY, this::make);
    }

    Directory directory() {
        return feed.directory();
    }

    TimerService.Subscription subscribe(Consumer<Directory> listener) {
        return feed.subscribe(listener);
    }

    /** Notes that records of the data centre have changed. */
    void onChange(DataCentre centre) {
        changed.add(centre);
        onChange();
    }

    /** Notes that something beside the records has changed. */
    void onChange() {
        feed.publishSoon();
    }

    /** Publishes what is known now. */
    void publish() {
        feed.publish();
    }

    private Directory make() {
        for (DataCentre centre : changed) {
            parts.put(centre, part(centre));
            parts.values().removeIf(part -> part.nodes().isEmpty());
        }
        changed.clear();
        return Directory.ofParts(parts, unreachable.get(), refreshing.getAsBoolean());
    }

    private DirectoryPart part(DataCentre centre) {
        List<NodeDescriptor> nodes = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        Map<NodeId, Reachability> doubtful = new LinkedHashMap<>();
        for (Held held : view.members(centre)) {
            if (held.record().isLive()) {
                nodes.add(held.record().node());
                held.record().targetRecord().ifPresent(targets::add);
                Reachability believed = reachability.apply(held);
                if (believed != Reachability.REACHABLE) {
                    doubtful.put(held.id(), believed);
                }
            }
        }
        return DirectoryPart.of(nodes, targets, doubtful);
    }
}
