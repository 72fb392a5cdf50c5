package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;

/**
 * Calls to listeners that were decided under a gate's lock and are made after it.
 *
 * <p>A listener may submit or release again, which would decide in the middle of another decision were the lock held. A
 * listener that throws must not keep the others from hearing theirs. Confined to one thread.
 */
final class Deliveries {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final List<Runnable> list = new ArrayList<>(2);

    void add(Runnable call) {
        list.add(call);
    }

    void deliver() {
        for (Runnable call : list) {
            try {
                call.run();
            } catch (RuntimeException e) {
                log.atSevere().withCause(e).log("a listener of an admission gate failed");
            }
        }
    }
}
