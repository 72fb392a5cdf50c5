package io.beryldock.node;

import io.beryldock.call.ServiceName;
import io.beryldock.forwarding.ExecutionRegistry;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.forwarding.TargetProcesses;
import io.beryldock.http.NodeHttpServer;
import io.beryldock.membership.Directory;
import io.beryldock.membership.Membership;
import io.beryldock.retry.RetryLedger;
import io.beryldock.store.PlatformStore;
import io.beryldock.timeline.EventRing;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A running node. Thread safe; may be closed once. */
public final class RunningNode implements AutoCloseable {

    private final NodeCore core;
    private final NodeHttpServer http;
    private final Optional<SharedResources> owned;

    RunningNode(NodeCore core, NodeHttpServer http, Optional<SharedResources> owned) {
        this.core = core;
        this.http = http;
        this.owned = owned;
    }

    /** Returns the same node, as the owner of the shared resources, which it closes with itself. */
    RunningNode withOwned(SharedResources shared) {
        return new RunningNode(core, http, Optional.of(shared));
    }

    public InetSocketAddress callersAddress() {
        return http.callersAddress();
    }

    public InetSocketAddress loopbackAddress() {
        return http.loopbackAddress();
    }

    public InetSocketAddress adminAddress() {
        return http.adminAddress();
    }

    public InetSocketAddress peersAddress() {
        return core.transport().localAddress();
    }

    /** Counts of the root requests that entered at this node. */
    public RequestTally tally() {
        return core.injector().getInstance(RequestTally.class);
    }

    /** The retry ledger, which counts violated invariants. */
    public RetryLedger ledger() {
        return core.injector().getInstance(RetryLedger.class);
    }

    public EventRing events() {
        return core.injector().getInstance(EventRing.class);
    }

    /** The state of the target in this VM: none, starting, ready, leaving or drained. */
    public String targetState() {
        return core.injector().getInstance(TargetAnnouncements.class).stateName();
    }

    /** The number of targets of the service that this node knows, in any state. */
    public int knownTargets(String service) {
        Directory directory = core.injector().getInstance(Membership.class).directory();
        return directory.targetsOf(ServiceName.of(service)).size();
    }

    /** The number of calls that the target is running. */
    public int running() {
        return core.injector().getInstance(ExecutionRegistry.class).size();
    }

    /**
     * Stops the node gracefully: drains the target, completes the requests in flight, hands the tickets over to a peer
     * and leaves the membership.
     */
    public void stop() throws InterruptedException {
        core.stop();
        close();
    }

    /** Stops immediately; requests in flight are aborted, as in a crash. */
    @Override
    public void close() {
        http.close();
        core.close();
        close(PlatformStore.class);
        close(TargetProcesses.class);
        owned.ifPresent(SharedResources::close);
    }

    private void close(Class<?> type) {
        if (core.injector().getInstance(type) instanceof AutoCloseable closeable) {
            try {
                closeable.close();
            } catch (Exception e) {
                throw new IllegalStateException(
                        "a component of the node could not be closed: " + type.getSimpleName(), e);
            }
        }
    }
}
