package io.beryldock.node;

import io.beryldock.membership.Directory;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What follows from a directory, worked out once for each: it is asked for with each message, and directories change
 * seldom.
 *
 * <p>Thread safe; two threads that meet a new directory may both work it out.
 */
final class PerDirectory<T> {

    private final Supplier<Directory> directory;
    private final Function<Directory, T> work;
    private volatile Known<T> known;

    PerDirectory(Supplier<Directory> directory, Function<Directory, T> work) {
        this.directory = directory;
        this.work = work;
        this.known = new Known<>(Directory.empty(), work.apply(Directory.empty()));
    }

    private record Known<T>(Directory directory, T value) {}

    T get() {
        Directory now = directory.get();
        Known<T> last = known;
        if (last.directory() != now) {
            last = new Known<>(now, work.apply(now));
            known = last;
        }
        return last.value();
    }
}
