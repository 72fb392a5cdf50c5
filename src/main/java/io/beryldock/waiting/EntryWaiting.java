package io.beryldock.waiting;

import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerService.Subscription;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The requests that wait at one entry node: a lock, held briefly, around {@link WaitingRoom}, which decides.
 *
 * <p>Thread safe. Invariants: decisions are completed without the lock; one timer is set while requests wait and none
 * otherwise; requests that need no credits take no lock. New credits may be announced on any thread, also during a call
 * of this class; the holder of the lock then offers them to the waiting requests. The waiting room and the timer are
 * guarded by the lock.
 */
public final class EntryWaiting implements EntryAdmission {

    private static final Subscription NO_TIMER = () -> {};

    private final WaitingPorts ports;
    private final TimerService timers;
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private final AtomicBoolean newCredits = new AtomicBoolean();
    private final WaitingRoom room;
    private Subscription timer = NO_TIMER;
    private long timerDue;
    private long timerNumber;
    private volatile boolean stopped;

    private EntryWaiting(WaitingPorts ports, TimerService timers, WaitingOrder order) {
        this.ports = ports;
        this.timers = timers;
        this.ticker = timers.ticker();
        this.room = new WaitingRoom(ports, order, ticker.nanos());
    }

    public static EntryWaiting create(WaitingPorts ports, TimerService timers) {
        return withOrder(ports, timers, WaitingOrder.fair());
    }

    static EntryWaiting withOrder(WaitingPorts ports, TimerService timers, WaitingOrder order) {
        EntryWaiting entry = new EntryWaiting(ports, timers, order);
        ports.credits().onCredits(entry::onCredits);
        return entry;
    }

    @Override
    public Pending admit(WaitingRequest request) {
        if (stopped) {
            return DecidedRequest.of(EntryDecision.refused(0));
        }
        if (!ports.credits().requiresCredits(request.tree())) {
            return DecidedRequest.notGoverned();
        }
        ports.credits().recordDemand(request.tree(), request.claimant());
        Waiter[] arrived = new Waiter[1];
        decide((now, out) -> arrived[0] = room.arrive(request, this::cancel, now, out));
        return arrived[0];
    }

    @Override
    public void stop() {
        stopped = true;
        decide(room::stop);
    }

    public WaitingSnapshot snapshot() {
        lock.lock();
        try {
            return room.snapshot(ticker.nanos());
        } finally {
            lock.unlock();
        }
    }

    private void cancel(Waiter waiter) {
        decide((now, out) -> room.cancel(waiter, out));
    }

    private void onCredits() {
        newCredits.set(true);
        offerNewCredits();
    }

    /**
     * Offers new credits without waiting for the lock: if another thread holds it, that thread offers the credits after
     * its own decision.
     */
    private void offerNewCredits() {
        while (newCredits.get() && !lock.isHeldByCurrentThread() && lock.tryLock()) {
            List<Waiter> out = new ArrayList<>();
            try {
                decideLocked((now, decided) -> {}, out);
            } finally {
                lock.unlock();
            }
            DecisionCompleter.completeAll(out);
        }
    }

    private void decide(Decision decision) {
        List<Waiter> out = new ArrayList<>();
        lock.lock();
        try {
            decideLocked(decision, out);
        } finally {
            lock.unlock();
        }
        DecisionCompleter.completeAll(out);
        offerNewCredits();
    }

    /**
     * Offers new credits to waiting requests before it makes the decision, so that a new request cannot take them
     * first. The lock is held.
     */
    private void decideLocked(Decision decision, List<Waiter> out) {
        long now = ticker.nanos();
        if (newCredits.getAndSet(false)) {
            room.review(now, out);
        }
        decision.make(now, out);
        armTimer(now);
    }

    private void armTimer(long now) {
        Optional<Duration> next = room.nextReview(now);
        if (next.isEmpty()) {
            timer.cancel();
            timer = NO_TIMER;
            return;
        }
        long due = now + next.get().toNanos();
        if (timer == NO_TIMER || due - timerDue < 0) {
            timer.cancel();
            long number = ++timerNumber;
            timer = timers.after(next.get(), () -> onTimer(number));
            timerDue = due;
        }
    }

    /**
     * Reviews the waiting requests. If the timer was set again while this task waited for the lock, the newer timer is
     * kept.
     */
    private void onTimer(long number) {
        decide((now, out) -> {
            if (number == timerNumber) {
                timer = NO_TIMER;
            }
            room.review(now, out);
        });
    }

    /** A call of the waiting room that makes decisions at a given time. */
    @FunctionalInterface
    private interface Decision {
        void make(long now, List<Waiter> out);
    }
}
