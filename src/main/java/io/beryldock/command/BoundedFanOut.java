package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Asks many nodes, a bounded number of them at once, and ends in bounded time.
 *
 * <p>Thread safe. The result holds the answer of each item that answered in time, and the fallback of each other one,
 * asked or not, in the order of the items.
 */
final class BoundedFanOut<T, R> {

    private final ImmutableList<T> items;
    private final int limit;
    private final Function<T, CompletableFuture<R>> ask;
    private final Function<T, R> fallback;
    private final CompletableFuture<ImmutableList<R>> done = new CompletableFuture<>();
    private final AtomicInteger pumping = new AtomicInteger();

    // Guarded by this.
    private final ArrayDeque<T> waiting;
    private final Map<T, CompletableFuture<R>> asked = new HashMap<>();
    private final Map<T, R> answers = new HashMap<>();

    private BoundedFanOut(List<T> items, int limit, Function<T, CompletableFuture<R>> ask, Function<T, R> fallback) {
        this.items = ImmutableList.copyOf(items);
        this.limit = limit;
        this.ask = ask;
        this.fallback = fallback;
        this.waiting = new ArrayDeque<>(items);
    }

    /** Asks each item, which must differ from one another; the future never fails. */
    static <T, R> CompletableFuture<ImmutableList<R>> run(
            List<T> items,
            int limit,
            Function<T, CompletableFuture<R>> ask,
            Function<T, R> fallback,
            TimerService timer,
            Duration budget) {
        BoundedFanOut<T, R> fanOut = new BoundedFanOut<>(items, limit, ask, fallback);
        TimerService.Subscription end = timer.after(budget, fanOut::giveUp);
        fanOut.pump();
        return fanOut.done.whenComplete((answers, error) -> end.cancel());
    }

    /**
     * Asks as many as are allowed.
     *
     * <p>An answer that is there at once calls this method again from within; counting the calls lets the outermost go
     * on in a loop. Without it hundreds of such answers, as when all connections are refused, would overflow the stack.
     */
    private void pump() {
        if (pumping.getAndIncrement() > 0) {
            return;
        }
        do {
            T item = take();
            while (item != null) {
                askOne(item);
                item = take();
            }
        } while (pumping.decrementAndGet() > 0);
        completeWhenAllAnswered();
    }

    private synchronized T take() {
        boolean full = asked.size() - answers.size() >= limit;
        return full ? null : waiting.poll();
    }

    private void askOne(T item) {
        CompletableFuture<R> future = ask.apply(item);
        synchronized (this) {
            asked.put(item, future);
        }
        CompletableFuture<R> unused = future.whenComplete((answer, error) -> {
            take(item, error == null ? answer : fallback.apply(item));
            pump();
        });
    }

    private synchronized void take(T item, R answer) {
        answers.put(item, answer);
    }

    private void completeWhenAllAnswered() {
        boolean all;
        synchronized (this) {
            all = answers.size() == items.size();
        }
        if (all) {
            done.complete(inOrder());
        }
    }

    private void giveUp() {
        ImmutableList<CompletableFuture<R>> open;
        synchronized (this) {
            waiting.clear();
            open = asked.values().stream().filter(future -> !future.isDone()).collect(ImmutableList.toImmutableList());
        }
        done.complete(inOrder());
        open.forEach(future -> future.cancel(true));
    }

    private synchronized ImmutableList<R> inOrder() {
        return items.stream()
                .map(item -> answers.containsKey(item) ? answers.get(item) : fallback.apply(item))
                .collect(ImmutableList.toImmutableList());
    }
}
