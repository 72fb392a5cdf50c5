package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Checks one promise over what was seen. Not thread safe; a pure function of the events so far.
 *
 * <p>A broken promise is told once for each case, as one sentence that names the request or the node.
 */
interface PromiseCheck {

    void on(SoakEvent event, Consumer<String> broken);

    /** All checks, with the bounds that the nodes are started with. */
    static ImmutableList<PromiseCheck> all(SoakBounds bounds, RecoveryCheck recovery) {
        return ImmutableList.of(
                new AtMostOnceCheck(),
                new AnswerCheck(),
                new RefusalCheck(),
                new RetryBoundCheck(bounds.retryShare(), bounds.retryWindow(), bounds.retrySlack()),
                new RemovedKeyCheck(bounds.removedKeys()),
                new VersionCheck(),
                new NewVersionCheck(),
                new PlannedStopCheck(),
                new NamedRateCheck(),
                new NamedLeavingCheck(),
                new ConfirmedDepartureCheck(),
                new EndlessResponseCheck(),
                recovery,
                new ResourceCheck());
    }

    /** The time from the one moment to the other, for a message. */
    static String seconds(long nanos) {
        return Duration.ofNanos(nanos).toMillis() + " ms";
    }
}
