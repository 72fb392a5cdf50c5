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
 * The requests that wait at one entry: one short lock around {@link WaitingRoom}, which decides.
 *
 * <p>Thread safe. Invariants: decisions are told without the lock; there is one timer while requests wait and none
 * while nobody does; requests that need no credits take no lock. The credits may tell of new ones on any thread, also
 * within a call of this class: whoever holds the lock then looks again. The room and the timer are guarded by the
 * lock.
 */
public final class EntryWaiting implements EntryAdmission {

    private static final Subscription NO_TIMER = () -> {};

    private final WaitingPorts ports;
    private final TimerService timers;
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private final AtomicBoolean creditsCame = new AtomicBoolean();
    private final WaitingRoom room;
    private Subscription timer = NO_TIMER;
    private long timerDue;
    private long armed;
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
        if (!ports.credits().governs(request.tree())) {
            return DecidedRequest.notGoverned();
        }
        ports.credits().demand(request.tree(), request.claimant());
        Waiter[] arrived = new Waiter[1];
        decide((now, out) -> arrived[0] = room.arrive(request, this::leave, now, out));
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

    private void leave(Waiter waiter) {
        decide((now, out) -> room.leave(waiter, out));
    }

    private void onCredits() {
        creditsCame.set(true);
        offerNewCredits();
    }

    /** Waits for no lock: who holds it offers the credits after its own decision. */
    private void offerNewCredits() {
        while (creditsCame.get() && !lock.isHeldByCurrentThread() && lock.tryLock()) {
            List<Waiter> out = new ArrayList<>();
            try {
                decideLocked((now, decided) -> {}, out);
            } finally {
                lock.unlock();
            }
            DecisionTelling.tell(out);
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
        DecisionTelling.tell(out);
        offerNewCredits();
    }

    /** Those who wait are offered new credits before anyone who comes; the lock is held. */
    private void decideLocked(Decision decision, List<Waiter> out) {
        long now = ticker.nanos();
        if (creditsCame.getAndSet(false)) {
            room.review(now, out);
        }
        decision.make(now, out);
        arm(now);
    }

    private void arm(long now) {
        Optional<Duration> next = room.nextReview(now);
        if (next.isEmpty()) {
            timer.cancel();
            timer = NO_TIMER;
            return;
        }
        long due = now + next.get().toNanos();
        if (timer == NO_TIMER || due - timerDue < 0) {
            timer.cancel();
            long number = ++armed;
            timer = timers.after(next.get(), () -> onTimer(number));
            timerDue = due;
        }
    }

    /** A timer that was set anew while its task waited for the lock is not forgotten. */
    private void onTimer(long number) {
        decide((now, out) -> {
            if (number == armed) {
                timer = NO_TIMER;
            }
            room.review(now, out);
        });
    }

    /** A decision of the room at a time. */
    @FunctionalInterface
    private interface Decision {
        void make(long now, List<Waiter> out);
    }
}
