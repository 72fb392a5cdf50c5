package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The one thread that holds a node's control state: view, configuration, tickets.
 *
 * <p>Thread safe. Tasks run one at a time in the order in which they came; one that throws is logged.
 */
public final class ControlLoop implements Executor, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long CLOSE_SECONDS = 5;

    private final ExecutorService executor;

    private ControlLoop(ExecutorService executor) {
        this.executor = executor;
    }

    public static ControlLoop start(String node) {
        return new ControlLoop(Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "control-" + node);
            thread.setDaemon(true);
            return thread;
        }));
    }

    @Override
    public void execute(Runnable task) {
        if (!executor.isShutdown()) {
            executor.execute(() -> runLogged(task));
        }
    }

    /** Runs the task and waits for its end; for start and stop only. */
    public void run(Runnable task) throws InterruptedException {
        CompletableFuture<Void> done = CompletableFuture.runAsync(task, executor);
        try {
            done.get(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the control thread failed to start or stop a part", e);
        }
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a control task failed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
