package io.beryldock.retry;

import java.util.concurrent.atomic.AtomicBoolean;

/** Decides whether a settlement of a grant, as given back or lost, takes effect. Thread safe. */
@FunctionalInterface
interface SettleGuard {

    /** Whether this settlement takes effect. */
    boolean admit();

    /** Admits the first settlement only. */
    static SettleGuard once() {
        AtomicBoolean settled = new AtomicBoolean();
        return () -> settled.compareAndSet(false, true);
    }
}
