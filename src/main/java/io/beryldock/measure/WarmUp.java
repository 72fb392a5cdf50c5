package io.beryldock.measure;

import io.beryldock.measure.Topology.CallerClass;
import io.beryldock.standin.StandinException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;

/** Waits until each node answers a read of every class, so that a run starts with all targets known. */
final class WarmUp {

    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final Duration ONE_TRY = Duration.ofSeconds(5);
    private static final long PAUSE_MILLIS = 20;
    private static final int OK = 200;

    private final Topology topology;
    private final ScenarioCluster cluster;
    private final CloseableHttpAsyncClient client;
    private String last = "nothing";

    WarmUp(Topology topology, ScenarioCluster cluster, CloseableHttpAsyncClient client) {
        this.topology = topology;
        this.cluster = cluster;
        this.client = client;
    }

    void await() throws StandinException, InterruptedException {
        long end = System.nanoTime() + LONGEST.toNanos();
        for (InetSocketAddress entry : cluster.entries()) {
            for (CallerClass callers : topology.callers()) {
                if (callers.method().equals("GET")) {
                    awaitAnswer(entry, callers, end);
                }
            }
        }
    }

    private void awaitAnswer(InetSocketAddress entry, CallerClass callers, long end)
            throws StandinException, InterruptedException {
        String uri = "http://" + entry.getHostString() + ":" + entry.getPort() + callers.path() + "/1?echo=warm-up";
        while (!isAnswered(uri)) {
            if (System.nanoTime() - end > 0) {
                throw new StandinException("no page from " + uri + " within " + LONGEST + " of the start, last " + last
                        + ": see the log of the nodes, run again with fewer programs beside it");
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    private boolean isAnswered(String uri) throws InterruptedException {
        try {
            SimpleHttpResponse response = client.execute(
                            SimpleRequestBuilder.get(uri).build(), null)
                    .get(ONE_TRY.toMillis(), TimeUnit.MILLISECONDS);
            last = response.getCode() + " " + response.getBodyText();
            return response.getCode() == OK;
        } catch (ExecutionException | TimeoutException e) {
            last = e.toString();
            return false;
        }
    }
}
