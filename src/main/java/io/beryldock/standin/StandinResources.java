package io.beryldock.standin;

import io.beryldock.httpclient.PlainHttpClientOptions;
import io.beryldock.httpclient.PlainHttpClients;
import io.beryldock.time.ThreadTimerService;
import io.beryldock.time.TimerService;
import java.time.Duration;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.io.CloseMode;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Threads, timer, buffers and HTTP client that all stand-ins of one process share, so that many of them stay cheap.
 *
 * <p>Thread safe. Close it after the stand-ins that use it.
 */
public final class StandinResources implements AutoCloseable {

    private static final int MAX_THREADS = 200;
    private static final int MIN_THREADS = 8;
    private static final int CLIENT_THREADS = 2;

    /** The connections that one target may hold open, as on the users' VMs. */
    private static final int CONNECTIONS_PER_ROUTE = 400;

    private static final int MAX_CONNECTIONS = 20_000;
    private static final Duration CONNECTION_WAIT = Duration.ofSeconds(10);

    private final QueuedThreadPool threads;
    private final Scheduler scheduler;
    private final ByteBufferPool buffers = new ArrayByteBufferPool();
    private final ThreadTimerService timers;
    private final CloseableHttpAsyncClient client;

    private StandinResources(
            QueuedThreadPool threads, Scheduler scheduler, ThreadTimerService timers, CloseableHttpAsyncClient client) {
        this.threads = threads;
        this.scheduler = scheduler;
        this.timers = timers;
        this.client = client;
    }

    /** Starts them; the caller closes them. */
    public static StandinResources start() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("standin");
        threads.setDaemon(true);
        Scheduler scheduler = new ScheduledExecutorScheduler("standin-scheduler", true);
        LifeCycle.start(threads);
        LifeCycle.start(scheduler);
        ThreadTimerService timers = ThreadTimerService.start("standin-timer", threads);
        PlainHttpClientOptions options = PlainHttpClientOptions.of(
                        CLIENT_THREADS, CONNECTIONS_PER_ROUTE, MAX_CONNECTIONS)
                .withConnectionWait(CONNECTION_WAIT);
        return new StandinResources(threads, scheduler, timers, PlainHttpClients.start(options));
    }

    public TimerService timers() {
        return timers;
    }

    /** A client that sends each request at most once. */
    public CloseableHttpAsyncClient client() {
        return client;
    }

    QueuedThreadPool threads() {
        return threads;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    @Override
    public void close() {
        client.close(CloseMode.IMMEDIATE);
        timers.close();
        LifeCycle.stop(scheduler);
        LifeCycle.stop(threads);
    }
}
