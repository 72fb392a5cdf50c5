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

/** A node that runs. Thread safe; closed once. */
public final class RunningNode implements AutoCloseable {

    private final NodeCore core;
    private final NodeHttpServer http;
    private final Optional<SharedResources> owned;

    RunningNode(NodeCore core, NodeHttpServer http, Optional<SharedResources> owned) {
        this.core = core;
        this.http = http;
        this.owned = owned;
    }

    /** The same node, which closes these threads with itself. */
    RunningNode owning(SharedResources shared) {
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

    /** Counts of root requests that entered here. */
    public RequestTally tally() {
        return core.injector().getInstance(RequestTally.class);
    }

    /** The retry ledger, with its count of broken invariants. */
    public RetryLedger ledger() {
        return core.injector().getInstance(RetryLedger.class);
    }

    public EventRing events() {
        return core.injector().getInstance(EventRing.class);
    }

    /** How the target in this VM stands: none, starting, ready, leaving or drained. */
    public String targetState() {
        return core.injector().getInstance(TargetAnnouncements.class).stateWord();
    }

    /** How many targets of the service this node knows, in whatever state. */
    public int knownTargets(String service) {
        Directory directory = core.injector().getInstance(Membership.class).directory();
        return directory.targetsOf(ServiceName.of(service)).size();
    }

    /** Calls that the target runs now. */
    public int running() {
        return core.injector().getInstance(ExecutionRegistry.class).size();
    }

    /** Stops without cutting off a request: drains, finishes what is in flight, hands the tickets over, leaves. */
    public void stop() throws InterruptedException {
        core.stop();
        close();
    }

    /** Stops at once: what is in flight is cut off, as in a crash. */
    @Override
    public void close() {
        http.close();
        core.close();
        close(PlatformStore.class);
        close(TargetProcesses.class);
        owned.ifPresent(SharedResources::close);
    }

    private void close(Class<?> part) {
        if (core.injector().getInstance(part) instanceof AutoCloseable closeable) {
            try {
                closeable.close();
            } catch (Exception e) {
                throw new IllegalStateException("the node's part can't be closed: " + part.getSimpleName(), e);
            }
        }
    }
}
