package io.beryldock.soak;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * What stands around the nodes and knows the platform's words: the store, targets, callers and operators.
 *
 * <p>Thread safe. Closed once, after the nodes have ended.
 */
public interface Surroundings extends AutoCloseable {

    /** Where the store answers. */
    InetSocketAddress store();

    /** Starts a target of the place's service beside the node; returns where it answers. */
    InetSocketAddress startTarget(NodePlace place, TargetEvents events) throws IOException, InterruptedException;

    /** Has the target announce itself to its node, at the address at which the node reaches it. */
    void announce(NodePlace place, InetSocketAddress target);

    /**
     * Has the target announce its departure to its node until that has confirmed it. The target serves on, and
     * heartbeats from before the departure reach the node late.
     */
    void leave(NodePlace place, InetSocketAddress target);

    /** Replaces the target's current start by the next one. */
    void startAnew(NodePlace place);

    /** Settings of the node's process, as its file holds them. */
    String settings(NodePlace place, InetSocketAddress store, SoakBounds bounds);

    /** Writes the operators' document; returns when the store has confirmed it. */
    void publish(long version, ImmutableSet<String> keys);

    /** Has the store itself fail, until it is told otherwise. */
    void setStore(StoreState state);

    /** Sets whether a share of the responses of all targets has the fault. */
    void setResponseFault(ResponseFault fault, boolean active);

    /** Ends all leases of the store. */
    void lapseLeases();

    /** Has the store forget what has changed so far. */
    void forgetHistory();

    /** While set, watches of the store hear nothing of changes. */
    void setChangesWithheld(boolean value);

    /** While set, a share of the writes gets no answer and is applied seconds later, if its condition still holds. */
    void setWritesLate(boolean value);

    /**
     * Brings the store back from a copy some seconds old; what was written since is gone, and the operators write their
     * newest document again.
     */
    void restoreStore();

    /** Asks for a node's readiness at the address; completes when it has answered, or fails. */
    CompletableFuture<Void> askReadiness(InetSocketAddress address);

    /** Sends a request to a node. */
    CompletableFuture<Outcome> send(NodePlace place, CallerRequest request);

    /** What the store does with a call. */
    enum StoreState {
        SOUND,
        REFUSING,
        ANSWERS_LOST
    }

    /** How a request ended at its sender. Immutable. */
    record Outcome(SoakEvent.Ending ending, SoakEvent.Reply reply) {}

    /** What targets tell. Thread safe. */
    interface TargetEvents {

        /** A request reaches a target, before the target decides whether to run it. */
        void arrived(int node, String id, String service);

        /** A target begins to work on the request. */
        void ran(int node, String id, String service, String body);

        /** A target answers a request and names what it accepts, 0 for any rate. */
        void named(int node, String id, double ratePerSecond, boolean leaving);

        /** A target begins to write a response without end. */
        void endlessBegan(int node, long response, String what);

        /** A response without end has ended after so many bytes. */
        void endlessEnded(int node, long response, String what, long bytes);

        /** The node has confirmed the departure of the target's current start. */
        void departureConfirmed(int node);

        /** The next start of a target begins. */
        void targetStarted(int node);

        /** A target makes an inner call through its own node. */
        void sent(int node, CallerRequest request);
    }

    @Override
    void close();
}
