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

/** A control loop on a thread that others use as well. */
final class ControlLoopTest {

    private final ScheduledExecutorService shared = Executors.newSingleThreadScheduledExecutor();
    private final ControlLoop loop = ControlLoop.on(shared);
    private final List<String> ran = new ArrayList<>();

    @AfterEach
    void endThread() {
        shared.shutdownNow();
    }

    /** Guards against a failed task that ends the thread's work, or tasks and due timers out of their order. */
    @Test
    void runsTasksAndTimersInOrderAlsoAfterOneThatFails() throws InterruptedException {
        loop.execute(() -> ran.add("first"));
        loop.execute(() -> {
            throw new IllegalStateException("a task fails");
        });
        loop.timers().after(Duration.ZERO, () -> ran.add("timer"));
        loop.run(() -> ran.add("last"));
        assertThat(ran).containsExactly("first", "timer", "last");
    }

    /** Guards against state that changes after its node was closed while the thread lives on. */
    @Test
    void runsNothingAfterTheCloseAndLeavesTheThreadToItsOwner() throws InterruptedException, ExecutionException {
        CountDownLatch closed = new CountDownLatch(1);
        shared.execute(() -> awaitQuietly(closed));
        loop.execute(() -> ran.add("waiting"));
        loop.timers().after(Duration.ZERO, () -> ran.add("timer"));
        loop.close();
        loop.execute(() -> ran.add("late"));
        closed.countDown();
        shared.submit(() -> ran.add("owner")).get();
        assertThat(ran).containsExactly("owner");
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
