package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import io.beryldock.time.ScheduledTimers;
import io.beryldock.time.TimerService;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The one thread that holds a node's control state: view, configuration, tickets. Its timers run on it too.
 *
 * <p>Thread safe. Tasks run one at a time in the order in which they came; one that throws is logged; after the close
 * none runs.
 */
public final class ControlLoop implements Executor, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long CLOSE_SECONDS = 5;

    private final ScheduledExecutorService executor;
    private final Runnable end;
    private final TimerService timers;
    private volatile boolean closed;

    private ControlLoop(ScheduledExecutorService executor, Runnable end) {
        this.executor = executor;
        this.end = end;
        this.timers = ScheduledTimers.on(executor, this::runLogged);
    }

    /** Starts a thread for it. */
    public static ControlLoop start(String node) {
        ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, task -> daemon(task, node));
        thread.setRemoveOnCancelPolicy(true);
        return new ControlLoop(thread, thread::shutdownNow);
    }

    /**
     * Uses a thread that others use as well and whose owner ends it.
     *
     * <p>Where a VM has about one core, a thread of its own would only add wake-ups: each message of a peer and each
     * answer of the store would be handed over. Nothing that runs on it may block.
     */
    public static ControlLoop on(ScheduledExecutorService shared) {
        return new ControlLoop(shared, () -> {});
    }

    private static Thread daemon(Runnable task, String node) {
        Thread thread = new Thread(task, "control-" + node);
        thread.setDaemon(true);
        return thread;
    }

    /** Timers whose tasks run on the thread. */
    public TimerService timers() {
        return timers;
    }

    @Override
    public void execute(Runnable task) {
        if (closed) {
            return;
        }
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException e) {
            log.atFine().withCause(e).log("a control task came after the stop of its thread");
        }
    }

    /** Runs the task and waits for its end; for start and stop only, never on the thread itself. */
    public void run(Runnable task) throws InterruptedException {
        CompletableFuture<Void> done = CompletableFuture.runAsync(task, executor);
        try {
            done.get(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the control thread failed to start or stop a part", e);
        }
    }

    private void runLogged(Runnable task) {
        if (closed) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a control task failed");
        }
    }

    @Override
    public void close() {
        closed = true;
        end.run();
    }
}
