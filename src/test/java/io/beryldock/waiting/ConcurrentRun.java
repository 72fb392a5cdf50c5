package io.beryldock.waiting;

import io.beryldock.credit.Claimant;
import io.beryldock.credit.NoCredits;
import io.beryldock.credit.TreeKey;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerService.Subscription;
import io.beryldock.timeline.EventSink;
import io.beryldock.waiting.EntryAdmission.Pending;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Calls one entry from several threads, which send requests, cancel them and provide credits. Credits are also
 * announced while the lock of the entry is held.
 */
final class ConcurrentRun extends NoCredits {

    private static final int REQUESTS = 5_000;
    private static final long TIME = Duration.ofSeconds(100).toNanos();

    private final AtomicInteger pool = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger decided = new AtomicInteger();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final EntryWaiting entry = EntryWaiting.create(
            WaitingPorts.of(WaitingSettings.defaults(), this, new Random(1), EventSink.none()), new FrozenTimers());

    void askAndLeave() {
        for (int i = 0; i < REQUESTS; i++) {
            asked.incrementAndGet();
            Claimant claimant = new Claimant(i % 3, Optional.empty());
            Pending pending =
                    entry.admit(new WaitingRequest(EntryFixture.BROWSE.tree(), claimant, i % 2 == 0, TIME, TIME, 10));
            pending.decision().thenRun(decided::incrementAndGet);
            if (i % 5 == 0) {
                pending.cancel();
            } else if (i % 2 == 0) {
                giveBack(EntryFixture.BROWSE.tree(), claimant);
            }
        }
    }

    void stop() {
        entry.stop();
    }

    int asked() {
        return asked.get();
    }

    int decided() {
        return decided.get();
    }

    @Override
    public boolean requiresCredits(TreeKey tree) {
        return true;
    }

    @Override
    public boolean take(TreeKey tree, Claimant claimant) {
        boolean taken = pool.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
        if (taken) {
            listeners.forEach(Runnable::run);
        }
        return taken;
    }

    @Override
    public void giveBack(TreeKey tree, Claimant claimant) {
        pool.incrementAndGet();
        listeners.forEach(Runnable::run);
    }

    @Override
    public long expectedWaitNanos(TreeKey tree, Claimant claimant, int ahead) {
        return 1;
    }

    @Override
    public long usualNanos(TreeKey tree) {
        return 1;
    }

    @Override
    public void onCredits(Runnable listener) {
        listeners.add(listener);
    }

    /** Timers whose time never advances. */
    private static final class FrozenTimers implements TimerService {
        @Override
        public Subscription after(Duration delay, Runnable task) {
            return () -> {};
        }

        @Override
        public Subscription every(Duration period, Runnable task) {
            return () -> {};
        }

        @Override
        public Ticker ticker() {
            return () -> 0;
        }
    }
}
