package io.beryldock.membership;

import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Builds directories and publishes them to listeners; changes within a short delay are published together.
 *
 * <p>Confined to the control thread, except for {@link #directory()}.
 */
final class DirectoryFeed {

    private final TimerService timers;
    private final Duration delay;
    private final Supplier<Directory> source;
    private final List<Consumer<Directory>> listeners = new CopyOnWriteArrayList<>();
    private boolean scheduled;
    private volatile Directory directory = Directory.empty();

    /** Creates a feed that builds each directory by calling {@code source}. */
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

    void schedulePublish() {
        if (!scheduled) {
            scheduled = true;
            timers.after(delay, this::publish);
        }
    }

    /** Builds and publishes a directory of the current state immediately. */
    void publish() {
        scheduled = false;
        directory = source.get();
        listeners.forEach(listener -> listener.accept(directory));
    }
}
