package io.beryldock.soak;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** A request that was answered as not run has not run and never will. */
final class RefusalCheck implements PromiseCheck {

    /** The statuses that promise it. */
    private static final ImmutableSet<Integer> NOT_RUN = ImmutableSet.of(408, 421, 429, 503);

    private final Set<String> refused = new HashSet<>();
    private final Set<String> ran = new HashSet<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Ran run) {
            ran.add(run.id());
            if (refused.contains(run.id())) {
                broken.accept("request " + run.id() + " was answered as not run and ran later");
            }
        } else if (event instanceof SoakEvent.Ended ended
                && NOT_RUN.contains(ended.reply().status())) {
            refused.add(ended.id());
            if (ran.contains(ended.id())) {
                broken.accept("request " + ended.id() + " has run and was answered as not run");
            }
        }
    }
}
