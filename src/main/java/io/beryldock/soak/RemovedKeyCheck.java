package io.beryldock.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** A key that was taken away opens nothing for a request that is sent after the bound, at any node. */
final class RemovedKeyCheck implements PromiseCheck {

    private final long bound;
    private final Map<String, Long> removed = new HashMap<>();
    private final Map<String, SoakEvent.Sent> late = new HashMap<>();

    RemovedKeyCheck(Duration bound) {
        this.bound = bound.toNanos();
    }

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.KeyRemoved gone) {
            removed.put(gone.key(), gone.at());
        } else if (event instanceof SoakEvent.Sent sent && isLate(sent)) {
            late.put(sent.request().id(), sent);
        } else if (event instanceof SoakEvent.Ran run && late.containsKey(run.id())) {
            SoakEvent.Sent sent = late.get(run.id());
            long since = sent.at() - removed.get(sent.request().key());
            broken.accept("request " + run.id() + " ran with a key that was taken away " + PromiseCheck.seconds(since)
                    + " before it was sent to node " + sent.node());
        }
    }

    private boolean isLate(SoakEvent.Sent sent) {
        Long gone = removed.get(sent.request().key());
        return gone != null && sent.at() - gone > bound;
    }
}
