package io.beryldock.time;

/** Monotonic clock of one process in nanoseconds; only readings of the same ticker are comparable. Thread safe. */
@FunctionalInterface
public interface Ticker {

    long nanos();

    static Ticker system() {
        return System::nanoTime;
    }
}
