package io.beryldock.node;

import io.beryldock.eventloop.EventLoops;
import io.beryldock.http.HttpClients;
import java.io.IOException;
import java.util.Optional;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

/**
 * Threads and clients that the nodes of one process share: one node in a VM, dozens in the demo. Thread safe.
 *
 * @param traffic event loops for connections and for the timers of requests
 * @param targetClient HTTP client for targets; empty if the nodes have their own
 */
public record SharedResources(EventLoops traffic, Optional<CloseableHttpAsyncClient> targetClient)
        implements AutoCloseable {

    /**
     * Starts the threads and the client for targets.
     *
     * @param ioThreads number of threads of the event loops, and of the client for targets
     * @param connectionsToTarget maximum number of connections to one target
     */
    public static SharedResources start(int ioThreads, int connectionsToTarget) {
        return start(ioThreads, Optional.of(HttpClients.start(connectionsToTarget, ioThreads)));
    }

    /** Starts the threads without a client for targets. */
    public static SharedResources startWithoutTargetClient(int ioThreads) {
        return start(ioThreads, Optional.empty());
    }

    private static SharedResources start(int ioThreads, Optional<CloseableHttpAsyncClient> targetClient) {
        return new SharedResources(EventLoops.create(ioThreads), targetClient);
    }

    @Override
    public void close() {
        traffic.close();
        try {
            if (targetClient.isPresent()) {
                targetClient.get().close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the HTTP client for targets could not be closed", e);
        }
    }
}
