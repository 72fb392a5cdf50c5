package io.beryldock.peer;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.RejectedExecutionException;

/** Runs tasks on an event loop, immediately if the caller is already on it. Stateless. */
final class LoopTasks {

    private LoopTasks() {}

    /** Runs the task on the loop; returns false, without running it, if the event loop has been shut down. */
    static boolean run(EventExecutor loop, Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
            return true;
        }
        try {
            loop.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }
}
