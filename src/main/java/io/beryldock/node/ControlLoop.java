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
 * The single thread that owns a node's control state: membership view, configuration and tickets. Timers of the control
 * state run on the same thread.
 *
 * <p>Thread safe. Tasks run one at a time, in the order of submission. A task's exception is logged and does not affect
 * later tasks. No task runs after {@link #close()}.
 */
public final class ControlLoop implements Executor, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long CLOSE_SECONDS = 5;

    private final ScheduledExecutorService executor;
    private final Runnable stopThread;
    private final TimerService timers;
    private volatile boolean closed;

    private ControlLoop(ScheduledExecutorService executor, Runnable stopThread) {
        this.executor = executor;
        this.stopThread = stopThread;
        this.timers = ScheduledTimers.on(executor, this::runLogged);
    }

    /** Creates a control loop with a thread of its own. */
    public static ControlLoop start(String node) {
        ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, task -> daemon(task, node));
        thread.setRemoveOnCancelPolicy(true);
        return new ControlLoop(thread, thread::shutdownNow);
    }

    /**
     * Creates a control loop on a shared thread, which its owner stops.
     *
     * <p>On a VM with about one core, a separate thread would only add wake-ups, because each peer message and each
     * store response would be handed over to it. Tasks on the shared thread must not block.
     */
    public static ControlLoop on(ScheduledExecutorService shared) {
        return new ControlLoop(shared, () -> {});
    }

    private static Thread daemon(Runnable task, String node) {
        Thread thread = new Thread(task, "control-" + node);
        thread.setDaemon(true);
        return thread;
    }

    /** Timers whose tasks run on the control thread. */
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
            log.atFine().withCause(e).log("a control task was submitted after its thread had stopped");
        }
    }

    /** Runs the task and waits for its completion; for start and stop only, never on the control thread itself. */
    public void run(Runnable task) throws InterruptedException {
        CompletableFuture<Void> completion = CompletableFuture.runAsync(task, executor);
        try {
            completion.get(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the control thread failed to start or stop a component", e);
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
        stopThread.run();
    }
}
