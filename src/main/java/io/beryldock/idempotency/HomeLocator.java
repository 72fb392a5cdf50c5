package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Finds the nodes that may hold a ticket's table: its home or, if the home is gone, its likely successors.
 *
 * <p>Successors are ranked by rendezvous hashing within the home's data centre, so that a planned stop need not be
 * announced to every node. A wrong candidate costs one message only, because a node acts on a ticket only if it holds
 * the whole table. Thread safe.
 */
final class HomeLocator {

    /**
     * Number of ranked nodes tried: the first may have been stopped as well, or be missing from one of the two views.
     */
    static final int CANDIDATES = 3;

    private final Supplier<Directory> directory;

    private HomeLocator(Supplier<Directory> directory) {
        this.directory = directory;
    }

    static HomeLocator of(Supplier<Directory> directory) {
        return new HomeLocator(directory);
    }

    /**
     * Nodes to query: the home itself while this incarnation of it is believed alive, otherwise the likely holders of
     * its table.
     */
    ImmutableList<NodeDescriptor> candidates(TicketHome home) {
        return home(home).map(ImmutableList::of).orElseGet(() -> successors(home));
    }

    private Optional<NodeDescriptor> home(TicketHome home) {
        return node(home.node()).filter(node -> TicketHome.of(node).equals(home));
    }

    Optional<NodeDescriptor> node(NodeId id) {
        return directory.get().node(id);
    }

    /** Nodes likely to hold the table that this home handed over, most likely first. */
    ImmutableList<NodeDescriptor> successors(TicketHome home) {
        ImmutableList<NodeDescriptor> neighbours = directory.get().nodes().values().stream()
                .filter(node -> node.dataCentre().equals(home.dataCentre()))
                .filter(node -> !TicketHome.of(node).equals(home))
                .collect(ImmutableList.toImmutableList());
        return Rendezvous.first(neighbours, home.incarnation().toString(), CANDIDATES);
    }
}
