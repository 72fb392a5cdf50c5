package io.beryldock.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** A node stops reading a response without end soon, and closes its connection. */
final class EndlessResponseCheck implements PromiseCheck {

    /** The largest response, twice, and the socket buffers on both sides of the proxy. */
    static final long MAX_BYTES = 32L << 20;

    /** Longer than any call lasts. */
    static final Duration MAX_LENGTH = Duration.ofSeconds(10);

    private final Map<Long, SoakEvent.EndlessBegan> open = new HashMap<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.EndlessBegan began) {
            open.put(began.response(), began);
        } else if (event instanceof SoakEvent.EndlessEnded ended) {
            open.remove(ended.response());
            if (ended.bytes() > MAX_BYTES) {
                broken.accept("node " + ended.node() + " read " + ended.bytes() + " bytes of one response without end: "
                        + ended.what());
            }
        } else if (event instanceof SoakEvent.RunEnded) {
            open.values().stream()
                    .filter(began -> event.at() - began.at() > MAX_LENGTH.toNanos())
                    .forEach(began -> broken.accept("node " + began.node() + " has read a response without end for "
                            + PromiseCheck.seconds(event.at() - began.at()) + ": " + began.what()));
        }
    }
}
