package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.time.TimerService;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * How a node and its target become known to all others, and what it knows of them.
 *
 * <p>Called on the control thread only, but for {@link #directory()}, which any thread may call.
 */
public interface Membership {

    /** Starts to look for others. */
    void start();

    /** Takes the announcement of the target in this VM, or its renewal. */
    void announce(ServiceName service, int slots, TargetState state);

    /** Takes the target back: it is gone. */
    void withdraw();

    /** Tells all others that this node stops, and stops; completes whether or not anybody hears. */
    CompletableFuture<Void> leave();

    /** Calls the listener with each new directory, on the control thread. */
    TimerService.Subscription onChange(Consumer<Directory> listener);

    /** The picture of all nodes and targets as of now. */
    Directory directory();

    /** Says that traffic got no answer from that node. */
    void hintUnreachable(NodeId node);

    /** Whether so much was lost at once that this node takes itself for cut off. */
    boolean isCutOff();
}
