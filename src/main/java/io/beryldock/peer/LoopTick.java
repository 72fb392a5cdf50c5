package io.beryldock.peer;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Posts timer ticks to an event loop and keeps at most one tick queued.
 *
 * <p>If every tick were queued while the event loop is blocked, all of them would run in a row before the loop reads
 * the bytes in its sockets, and healthy connections would appear silent.
 *
 * <p>Thread safe.
 */
final class LoopTick {

    private final Runnable task;
    private final AtomicBoolean posted = new AtomicBoolean();

    LoopTick(Runnable task) {
        this.task = task;
    }

    /** Queues the task on the loop unless an earlier run is still queued. */
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
