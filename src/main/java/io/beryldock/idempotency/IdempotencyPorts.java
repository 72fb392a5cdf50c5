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
 * All that keyed requests need of the rest of a node. Immutable.
 *
 * @param self this start of this node
 * @param directory the newest picture of all nodes and targets
 * @param control runs the node's control thread
 * @param random seeds nothing but the nonces of tickets; must not be guessable by callers
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
