package io.beryldock.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of a control loop on a shared thread. */
final class ControlLoopTest {

    private final ScheduledExecutorService shared = Executors.newSingleThreadScheduledExecutor();
    private final ControlLoop loop = ControlLoop.on(shared);
    private final List<String> ran = new ArrayList<>();

    @AfterEach
    void stopThread() {
        shared.shutdownNow();
    }

    /** Guards against a failed task that stops the loop, and against tasks and due timers that run out of order. */
    @Test
    void tasksAndTimersRunInOrderAfterAFailedTask() throws InterruptedException {
        loop.execute(() -> ran.add("first"));
        loop.execute(() -> {
            throw new IllegalStateException("a task fails");
        });
        loop.timers().after(Duration.ZERO, () -> ran.add("timer"));
        loop.run(() -> ran.add("last"));
        assertThat(ran).containsExactly("first", "timer", "last");
    }

    /** Guards against control state that changes after its node was closed, while the shared thread keeps running. */
    @Test
    void noTaskRunsAfterCloseAndSharedThreadKeepsRunning() throws InterruptedException, ExecutionException {
        CountDownLatch closed = new CountDownLatch(1);
        shared.execute(() -> awaitLatch(closed));
        loop.execute(() -> ran.add("waiting"));
        loop.timers().after(Duration.ZERO, () -> ran.add("timer"));
        loop.close();
        loop.execute(() -> ran.add("late"));
        closed.countDown();
        shared.submit(() -> ran.add("owner")).get();
        assertThat(ran).containsExactly("owner");
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
