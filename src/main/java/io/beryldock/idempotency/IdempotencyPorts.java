package io.beryldock.idempotency;

import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Dependencies of this package on the rest of a node. Immutable.
 *
 * @param self descriptor of this node's current incarnation
 * @param directory supplies the latest view of all nodes and targets
 * @param control executor of the node's control thread
 * @param random generates ticket nonces only; must not be predictable by callers
 */
public record IdempotencyPorts(
        NodeDescriptor self,
        Supplier<Directory> directory,
        CallDispatcher dispatcher,
        TicketPeers peers,
        PlatformStore store,
        TimerService timers,
        Executor control,
        RandomGenerator random,
        EventSink events) {}
