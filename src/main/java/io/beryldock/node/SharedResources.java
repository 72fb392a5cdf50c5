package io.beryldock.node;

import io.beryldock.eventloop.EventLoops;
import io.beryldock.http.HttpClients;
import java.io.IOException;
import java.util.Optional;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

/**
 * Threads that the nodes of one process share: one node in a VM, dozens in the demo. Thread safe.
 *
 * @param traffic threads of connections and of the timers of requests
 * @param targetClient the client towards targets, empty where the nodes bring their own
 */
public record SharedResources(EventLoops traffic, Optional<CloseableHttpAsyncClient> targetClient)
        implements AutoCloseable {

    /**
     * Starts the threads.
     *
     * @param ioThreads threads each for peers, targets and timers
     * @param connectionsToTarget most connections to one target
     */
    public static SharedResources start(int ioThreads, int connectionsToTarget) {
        return start(ioThreads, Optional.of(HttpClients.start(connectionsToTarget, ioThreads)));
    }

    /** Starts the threads without a client towards targets. */
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
            throw new IllegalStateException("the client towards targets can't be closed", e);
        }
    }
}
