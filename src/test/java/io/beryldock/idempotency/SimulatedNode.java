package io.beryldock.idempotency;

import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.ManualTimerService;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * One incarnation of a node in a randomised run. Its tasks run in order, wait while the node is paused and are dropped
 * after it has crashed.
 */
final class SimulatedNode implements TimerService {

    private final NodeDescriptor descriptor;
    private final ManualTimerService time;
    private final Random random;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final List<Runnable> deferred = new ArrayList<>();
    private Directory view = Directory.empty();
    private KeyedRequests keyed;
    private boolean running;
    private boolean paused;
    private boolean dead;

    SimulatedNode(NodeDescriptor descriptor, ManualTimerService time, Random random) {
        this.descriptor = descriptor;
        this.time = time;
        this.random = random;
    }

    void start(KeyedRequests parts) {
        keyed = parts;
    }

    NodeDescriptor descriptor() {
        return descriptor;
    }

    KeyedRequests keyed() {
        return keyed;
    }

    Directory view() {
        return view;
    }

    void updateView(Directory directory) {
        view = directory;
    }

    boolean dead() {
        return dead;
    }

    void post(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            deferred.add(task);
            return;
        }
        queue.add(task);
        drain();
    }

    private void drain() {
        if (running) {
            return;
        }
        running = true;
        while (!queue.isEmpty() && !dead) {
            queue.poll().run();
        }
        running = false;
    }

    void crash() {
        dead = true;
    }

    /** Suspends the node; tasks that arrive meanwhile run afterwards, in random order. */
    void pause(Duration length) {
        paused = true;
        time.after(length, () -> {
            paused = false;
            Collections.shuffle(deferred, random);
            List<Runnable> tasks = List.copyOf(deferred);
            deferred.clear();
            tasks.forEach(this::post);
        });
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return time.after(delay, () -> post(task));
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        return time.every(period, () -> post(task));
    }

    @Override
    public Ticker ticker() {
        return time.ticker();
    }
}
