package io.beryldock.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A target whose departure its node has confirmed gets no request that was sent later than some time after the
 * confirmation, from whichever node and whatever happens to its own node or to the store meanwhile.
 */
final class ConfirmedDepartureCheck implements PromiseCheck {

    private static final long DRAIN_NANOS = Duration.ofSeconds(2).toNanos();

    private final Map<Integer, Long> confirmedAt = new HashMap<>();
    private final Map<String, Long> sentAt = new HashMap<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Sent sent) {
            sentAt.put(sent.request().id(), sent.at());
        } else if (event instanceof SoakEvent.DepartureConfirmed confirmed) {
            confirmedAt.putIfAbsent(confirmed.node(), confirmed.at());
        } else if (event instanceof SoakEvent.TargetStarted started) {
            confirmedAt.remove(started.node());
        } else if (event instanceof SoakEvent.Ran run && confirmedAt.containsKey(run.node())) {
            onRan(run, broken);
        }
    }

    private void onRan(SoakEvent.Ran run, Consumer<String> broken) {
        long late = sentAt.getOrDefault(run.id(), run.at()) - confirmedAt.get(run.node());
        if (late > DRAIN_NANOS) {
            broken.accept("the target of node " + run.node() + " got request " + run.id() + " that was sent "
                    + PromiseCheck.seconds(late) + " after the node had confirmed the target's departure");
        }
    }
}
