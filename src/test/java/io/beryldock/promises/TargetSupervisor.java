package io.beryldock.promises;

import io.beryldock.standin.StandinException;
import io.beryldock.standin.StandinTarget;
import java.util.concurrent.atomic.AtomicInteger;

/** Starts a target again as soon as it has crashed, as a supervisor of processes does. Thread safe. */
final class TargetSupervisor implements AutoCloseable {

    private final StandinTarget target;
    private final AtomicInteger restarts = new AtomicInteger();
    private final Thread thread = new Thread(this::watch, "target-supervisor");
    private volatile boolean closed;

    private TargetSupervisor(StandinTarget target) {
        this.target = target;
    }

    static TargetSupervisor start(StandinTarget target) {
        TargetSupervisor supervisor = new TargetSupervisor(target);
        supervisor.thread.setDaemon(true);
        supervisor.thread.start();
        return supervisor;
    }

    int restarts() {
        return restarts.get();
    }

    private void watch() {
        while (!closed) {
            if (target.isCrashed()) {
                restart();
            }
            Thread.onSpinWait();
        }
    }

    /** The port may be taken for a moment by a connection that leaves from it; the next turn tries again. */
    private void restart() {
        try {
            target.restart();
            restarts.incrementAndGet();
        } catch (StandinException e) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join();
    }
}
