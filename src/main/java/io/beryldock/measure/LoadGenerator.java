package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Asks for what the schedule says when it says, whatever becomes of earlier requests.
 *
 * <p>Runs on the caller's thread; the counts may be read on any. Latencies count from when a request was due, so a
 * stall of
 * the generator shows as latency, never as less load.
 */
final class LoadGenerator {

    private final ArrivalSchedule schedule;
    private final Ticker ticker;
    private final List<UserRequest> requests = new ArrayList<>();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong ended = new AtomicLong();

    private LoadGenerator(ArrivalSchedule schedule, Ticker ticker) {
        this.schedule = schedule;
        this.ticker = ticker;
    }

    static LoadGenerator create(ArrivalSchedule schedule, Ticker ticker) {
        return new LoadGenerator(schedule, ticker);
    }

    /** Hands each request to {@code driver} when it is due; returns once the last has been handed over. */
    void run(long start, Consumer<UserRequest> driver) throws InterruptedException {
        for (Optional<UserRequest> next = schedule.next(); next.isPresent(); next = schedule.next()) {
            UserRequest due = at(next.get(), start);
            waitUntil(due.asked());
            requests.add(due);
            asked.incrementAndGet();
            driver.accept(due);
        }
    }

    /** Waits until all requests have ended; false when some have not after that time. */
    boolean awaitEnd(Duration longest) throws InterruptedException {
        long end = ticker.nanos() + longest.toNanos();
        while (ended.get() < asked.get()) {
            if (ticker.nanos() - end > 0) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return true;
    }

    void ended(UserRequest request) {
        ended.incrementAndGet();
    }

    long asked() {
        return asked.get();
    }

    long endedCount() {
        return ended.get();
    }

    /** All that were asked, in order; complete once {@link #run} has returned. */
    ImmutableList<UserRequest> requests() {
        return ImmutableList.copyOf(requests);
    }

    private static UserRequest at(UserRequest request, long start) {
        return new UserRequest(
                request.callers(), request.token(), request.path(), request.user(), start + request.asked());
    }

    private void waitUntil(long due) throws InterruptedException {
        for (long left = due - ticker.nanos(); left > 0; left = due - ticker.nanos()) {
            LockSupport.parkNanos(left);
            if (Thread.interrupted()) {
                throw new InterruptedException("the load was stopped");
            }
        }
    }
}
