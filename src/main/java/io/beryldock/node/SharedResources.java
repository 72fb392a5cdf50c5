package io.beryldock.node;

import io.beryldock.http.HttpClients;
import io.beryldock.peer.PeerEventLoops;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

/**
 * Threads that the nodes of one process share: one node in a VM, dozens in the demo. Thread safe.
 *
 * @param targetClient the client towards targets, empty where the nodes bring their own
 * @param traffic runs timers of requests
 */
public record SharedResources(
        PeerEventLoops peerLoops, Optional<CloseableHttpAsyncClient> targetClient, ExecutorService traffic)
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
        return new SharedResources(
                PeerEventLoops.create(ioThreads),
                targetClient,
                Executors.newFixedThreadPool(ioThreads, task -> {
                    Thread thread = new Thread(task, "traffic");
                    thread.setDaemon(true);
                    return thread;
                }));
    }

    @Override
    public void close() {
        traffic.shutdownNow();
        peerLoops.close();
        try {
            if (targetClient.isPresent()) {
                targetClient.get().close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the client towards targets can't be closed", e);
        }
    }
}
