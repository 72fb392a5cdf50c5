package io.beryldock.nettyhttp;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds how many large response bodies a client buffers at once, and with it the memory that servers can take.
 *
 * <p>Invariants: at most a fixed number of connections buffer a large body; the others wait in the order in which they
 * came, without reading. Confined to the event loop of the client.
 */
final class LargeBodies {

    /** Bodies up to this size are buffered at any time. */
    static final int SMALL_BYTES = 32 << 10;

    private final int max;
    private final Set<Reader> buffering = new HashSet<>();
    private final Deque<Reader> waiting = new ArrayDeque<>();

    LargeBodies(int max) {
        this.max = max;
    }

    /** A connection whose body is read. */
    interface Reader {

        /** Stops reading until {@link #resume}. */
        void pause();

        void resume();
    }

    /** Lets the reader of a large body read on, or pauses it until there is room. Does nothing when called again. */
    void enter(Reader reader) {
        if (buffering.contains(reader) || waiting.contains(reader)) {
            return;
        }
        if (buffering.size() < max) {
            buffering.add(reader);
        } else {
            waiting.add(reader);
            reader.pause();
        }
    }

    /** Returns how many connections buffer a large body. */
    int buffering() {
        return buffering.size();
    }

    /** Returns how many connections wait without reading. */
    int waiting() {
        return waiting.size();
    }

    /** Ends a body, complete or not; the reader that waits longest takes its place. Does nothing for other readers. */
    void leave(Reader reader) {
        waiting.remove(reader);
        if (buffering.remove(reader) && !waiting.isEmpty()) {
            Reader next = waiting.poll();
            buffering.add(next);
            next.resume();
        }
    }
}
