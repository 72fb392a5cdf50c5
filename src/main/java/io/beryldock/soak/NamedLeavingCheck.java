package io.beryldock.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * A target that says in its answers that it leaves gets no request that was sent later than some time after the node of
 * the request had passed on such an answer.
 */
final class NamedLeavingCheck implements PromiseCheck {

    private static final long DRAIN_NANOS = Duration.ofSeconds(2).toNanos();

    private final ToldNodes told = new ToldNodes();
    private final Map<String, Long> sentAt = new HashMap<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        told.on(event);
        if (event instanceof SoakEvent.Sent sent) {
            sentAt.put(sent.request().id(), sent.at());
        } else if (event instanceof SoakEvent.Named answer && answer.leaving()) {
            told.onNamed(answer.node(), answer.id());
        } else if (event instanceof SoakEvent.TargetStarted started) {
            told.forget(started.node());
        } else if (event instanceof SoakEvent.Ran run) {
            onRan(run, broken);
        }
    }

    private void onRan(SoakEvent.Ran run, Consumer<String> broken) {
        OptionalLong since = told.toldAt(run.node(), run.id());
        long sent = sentAt.getOrDefault(run.id(), run.at());
        if (since.isPresent() && sent - since.getAsLong() > DRAIN_NANOS) {
            broken.accept("the target of node " + run.node() + " got request " + run.id() + " that was sent "
                    + PromiseCheck.seconds(sent - since.getAsLong())
                    + " after the node where it began had passed on that"
                    + " the target leaves");
        }
    }
}
