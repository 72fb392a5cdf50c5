package io.beryldock.time;

/** Monotonic time of one process in nanoseconds; compare only values of the same ticker. Thread safe. */
@FunctionalInterface
public interface Ticker {

    long nanos();

    static Ticker system() {
        return System::nanoTime;
    }
}
