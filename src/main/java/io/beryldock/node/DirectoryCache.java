package io.beryldock.node;

import io.beryldock.membership.Directory;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Caches a value derived from the current directory. The value is needed for each message, but directories rarely
 * change.
 *
 * <p>Thread safe; two threads that find a new directory at the same time may both compute its value.
 */
final class DirectoryCache<T> {

    private final Supplier<Directory> directory;
    private final Function<Directory, T> derive;
    private volatile Entry<T> cached;

    DirectoryCache(Supplier<Directory> directory, Function<Directory, T> derive) {
        this.directory = directory;
        this.derive = derive;
        this.cached = new Entry<>(Directory.empty(), derive.apply(Directory.empty()));
    }

    private record Entry<T>(Directory directory, T value) {}

    T get() {
        Directory current = directory.get();
        Entry<T> last = cached;
        if (last.directory() != current) {
            last = new Entry<>(current, derive.apply(current));
            cached = last;
        }
        return last.value();
    }
}
