package io.beryldock.membership;

import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Makes directories and hands them to their listeners; changes that come together are published together, after a
 * moment.
 *
 * <p>Control thread only, but for {@link #directory()}.
 */
final class DirectoryFeed {

    private final TimerService timers;
    private final Duration delay;
    private final Supplier<Directory> source;
    private final List<Consumer<Directory>> listeners = new CopyOnWriteArrayList<>();
    private boolean armed;
    private volatile Directory directory = Directory.empty();

    /** A feed of what the source makes of the present state. */
    DirectoryFeed(TimerService timers, Duration delay, Supplier<Directory> source) {
        this.timers = timers;
        this.delay = delay;
        this.source = source;
    }

    Directory directory() {
        return directory;
    }

    TimerService.Subscription subscribe(Consumer<Directory> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    void publishSoon() {
        if (!armed) {
            armed = true;
            timers.after(delay, this::publish);
        }
    }

    /** Publishes what is known now. */
    void publish() {
        armed = false;
        directory = source.get();
        listeners.forEach(listener -> listener.accept(directory));
    }
}
