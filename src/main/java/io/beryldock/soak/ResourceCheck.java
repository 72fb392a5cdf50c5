package io.beryldock.soak;

import java.util.function.Consumer;

/** A node process stays within the memory of its VM and opens no files without bound. */
final class ResourceCheck implements PromiseCheck {

    /** Memory of the smallest VM that a node shares with its target. */
    static final long MAX_KILOBYTES = 330L << 10;

    /** Half of the usual limit of a process. */
    static final int MAX_FILES = 512;

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Sampled sample) {
            if (sample.memoryKilobytes() > MAX_KILOBYTES) {
                broken.accept("node " + sample.node() + " holds " + sample.memoryKilobytes() + " KB of memory");
            }
            if (sample.openFiles() > MAX_FILES) {
                broken.accept("node " + sample.node() + " has " + sample.openFiles() + " files open");
            }
        }
    }
}
