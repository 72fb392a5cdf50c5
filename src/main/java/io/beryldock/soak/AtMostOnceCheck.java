package io.beryldock.soak;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** A request that is not idempotent runs at most once, whatever fails. */
final class AtMostOnceCheck implements PromiseCheck {

    private final Set<String> single = new HashSet<>();
    private final Set<String> ran = new HashSet<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Sent sent && !sent.request().use().idempotent()) {
            single.add(sent.request().id());
        } else if (event instanceof SoakEvent.Ran run && single.contains(run.id()) && !ran.add(run.id())) {
            broken.accept("request " + run.id() + " is not idempotent and ran again, at node " + run.node());
        }
    }
}
