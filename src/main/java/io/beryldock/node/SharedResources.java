package io.beryldock.node;

import io.beryldock.http.HttpClients;
import io.beryldock.peer.PeerEventLoops;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

/**
 * Threads that the nodes of one process share: one node in a VM, dozens in the demo. Thread safe.
 *
 * @param traffic runs timers of requests
 */
public record SharedResources(PeerEventLoops peerLoops, CloseableHttpAsyncClient targetClient, ExecutorService traffic)
        implements AutoCloseable {

    /**
     * Starts the threads.
     *
     * @param ioThreads threads each for peers, targets and timers
     * @param connectionsToTarget most connections to one target
     */
    public static SharedResources start(int ioThreads, int connectionsToTarget) {
        return new SharedResources(
                PeerEventLoops.create(ioThreads),
                HttpClients.start(connectionsToTarget, ioThreads),
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
            targetClient.close();
        } catch (IOException e) {
            throw new IllegalStateException("the client towards targets can't be closed", e);
        }
    }
}
