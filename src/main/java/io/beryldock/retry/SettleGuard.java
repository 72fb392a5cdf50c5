package io.beryldock.retry;

import java.util.concurrent.atomic.AtomicBoolean;

/** Lets a grant be settled: given back or lost. Thread safe. */
@FunctionalInterface
interface SettleGuard {

    /** Whether this settlement counts. */
    boolean admit();

    /** Admits the first settlement only. */
    static SettleGuard once() {
        AtomicBoolean settled = new AtomicBoolean();
        return () -> settled.compareAndSet(false, true);
    }
}
