package io.beryldock.measure;

import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;

/**
 * When a message between two nodes arrives on the manual clock, if it does.
 *
 * <p>Within a data centre a message takes about half a millisecond, between two about forty; jitter reorders messages.
 * Messages may be lost, doubled or blocked. Single-threaded; the same seed gives the same run.
 */
public final class FakeNetwork {

    private static final long NEAR_NANOS = Duration.ofNanos(500_000).toNanos();
    private static final long FAR_NANOS = Duration.ofMillis(40).toNanos();

    private final ManualTimerService timers;
    private final RandomGenerator random;
    private double loss;
    private double duplication;
    private BiPredicate<NodeDescriptor, NodeDescriptor> blocked = (from, to) -> false;

    FakeNetwork(ManualTimerService timers, RandomGenerator random) {
        this.timers = timers;
        this.random = random;
    }

    /** Sets the shares of messages that are lost and doubled, 0 to 1. */
    public void setFaults(double lossShare, double duplicationShare) {
        loss = lossShare;
        duplication = duplicationShare;
    }

    /** Sets which pairs cannot reach each other, in the direction from the first to the second. */
    public void block(BiPredicate<NodeDescriptor, NodeDescriptor> pairs) {
        blocked = pairs;
    }

    void deliver(NodeDescriptor from, NodeDescriptor to, Runnable arrival) {
        if (blocked.test(from, to) || isDrawn(loss)) {
            return;
        }
        deliverOnce(from, to, arrival);
        if (isDrawn(duplication)) {
            deliverOnce(from, to, arrival);
        }
    }

    private void deliverOnce(NodeDescriptor from, NodeDescriptor to, Runnable arrival) {
        long base = from.dataCentre().equals(to.dataCentre()) ? NEAR_NANOS : FAR_NANOS;
        long delay = base + random.nextLong(base);
        timers.after(Duration.ofNanos(delay), arrival);
    }

    private boolean isDrawn(double share) {
        return share > 0 && random.nextDouble() < share;
    }
}
