package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Finds who may decide over a ticket: its home, or when that is gone the nodes that it would have handed its table to.
 *
 * <p>The successor is ranked by rendezvous hashing in the home's data centre, so that a stopped home need not be
 * announced to every node. A wrong guess costs a message: only who holds the whole table decides. Thread safe.
 */
final class HomeLocator {

    /** Ranks that are tried: the first may have been stopped in its turn, or be unknown to one of the two views. */
    static final int CANDIDATES = 3;

    private final Supplier<Directory> directory;

    private HomeLocator(Supplier<Directory> directory) {
        this.directory = directory;
    }

    static HomeLocator of(Supplier<Directory> directory) {
        return new HomeLocator(directory);
    }

    /** Whom to ask: the home while this very start of it is believed alive, else the likely holders of its table. */
    ImmutableList<NodeDescriptor> deciders(TicketHome home) {
        return home(home).map(ImmutableList::of).orElseGet(() -> successors(home));
    }

    private Optional<NodeDescriptor> home(TicketHome home) {
        return node(home.node()).filter(node -> TicketHome.of(node).equals(home));
    }

    Optional<NodeDescriptor> node(NodeId id) {
        return directory.get().node(id);
    }

    /** The likely holders of the table that this home left behind, the likeliest first. */
    ImmutableList<NodeDescriptor> successors(TicketHome home) {
        ImmutableList<NodeDescriptor> neighbours = directory.get().nodes().values().stream()
                .filter(node -> node.dataCentre().equals(home.dataCentre()))
                .filter(node -> !TicketHome.of(node).equals(home))
                .collect(ImmutableList.toImmutableList());
        return Rendezvous.first(neighbours, home.incarnation().toString(), CANDIDATES);
    }
}
