package io.beryldock.peer;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Carries ticks of the timer to one event loop, never two at a time.
 *
 * <p>Guards against an event loop that was held up: were every missed tick queued, they would run in a row before the
 * bytes that wait in the sockets are read, and sound connections would look silent. Thread safe.
 */
final class LoopTick {

    private final Runnable task;
    private final AtomicBoolean posted = new AtomicBoolean();

    LoopTick(Runnable task) {
        this.task = task;
    }

    /** Has the task run on the loop unless an earlier run is still to come. */
    void post(EventExecutor loop) {
        if (posted.compareAndSet(false, true) && !LoopTasks.run(loop, this::run)) {
            posted.set(false);
        }
    }

    private void run() {
        posted.set(false);
        task.run();
    }
}
