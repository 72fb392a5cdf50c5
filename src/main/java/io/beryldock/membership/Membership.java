package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.time.TimerService;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Announces this node and its target to all other nodes, and provides the directory of all nodes and targets.
 *
 * <p>All methods are called on the control thread, except {@link #directory()}, which is thread-safe.
 */
public interface Membership {

    /** Starts the search for other nodes. */
    void start();

    /** Announces the target in this VM, or renews its announcement. */
    void announce(ServiceName service, int slots, TargetState state);

    /** Withdraws the announcement of a target that is gone. */
    void withdraw();

    /**
     * Announces to all other nodes that this node is stopping, and stops membership. The future completes even if no
     * other node receives the announcement.
     */
    CompletableFuture<Void> leave();

    /** Registers a listener that is called on the control thread with each new directory. */
    TimerService.Subscription onChange(Consumer<Directory> listener);

    /** Returns the current directory. */
    Directory directory();

    /** Reports that the node did not answer a traffic request. */
    void hintUnreachable(NodeId node);

    /**
     * Whether this node assumes that it is disconnected itself, because many nodes or the store became unreachable at
     * once.
     */
    boolean isCutOff();
}
