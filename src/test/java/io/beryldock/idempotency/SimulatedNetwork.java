package io.beryldock.idempotency;

import io.beryldock.peer.PeerException;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Simulated network between the nodes of a randomised run; messages may be lost, duplicated, delayed, reordered or
 * blocked by a partition.
 */
final class SimulatedNetwork {

    private static final int LONG_DELAY_MILLIS = 4_000;

    private final ManualTimerService time;
    private final Random random;
    private final Set<String> blockedLinks = new HashSet<>();
    private boolean faultsDisabled;

    SimulatedNetwork(ManualTimerService time, Random random) {
        this.time = time;
        this.random = random;
    }

    void partition(String one, String other, Duration length) {
        blockedLinks.add(one + other);
        blockedLinks.add(other + one);
        time.after(length, () -> blockedLinks.remove(one + other));
        time.after(length, () -> blockedLinks.remove(other + one));
    }

    private boolean isBlocked(SimulatedNode from, SimulatedNode to) {
        return blockedLinks.contains(
                from.descriptor().id().value() + to.descriptor().id().value());
    }

    /** Disables all random faults from now on. */
    void disableFaults() {
        faultsDisabled = true;
    }

    boolean chance(int percent) {
        return !faultsDisabled && random.nextInt(100) < percent;
    }

    Duration delay() {
        int millis = chance(8) ? random.nextInt(LONG_DELAY_MILLIS) : 1 + random.nextInt(5);
        return Duration.ofMillis(millis);
    }

    /** Delivers a request to the given incarnation of a node, and the reply to the sender. */
    <T> CompletableFuture<T> request(
            SimulatedNode from, SimulatedNode to, Duration timeout, BiConsumer<SimulatedNode, Consumer<T>> deliver) {
        CompletableFuture<T> reply = new CompletableFuture<>();
        if ((to.dead() || isBlocked(from, to)) && chance(50)) {
            fail(from, reply, PeerException.Kind.NOT_SENT, Duration.ofMillis(1));
            return reply;
        }
        int copies = chance(5) ? 0 : chance(8) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.after(delay(), () -> arrive(from, to, deliver, reply));
        }
        fail(from, reply, PeerException.Kind.TIMED_OUT, timeout);
        if (chance(3)) {
            fail(from, reply, PeerException.Kind.LOST, delay());
        }
        return reply;
    }

    private <T> void arrive(
            SimulatedNode from,
            SimulatedNode to,
            BiConsumer<SimulatedNode, Consumer<T>> deliver,
            CompletableFuture<T> reply) {
        if (isBlocked(from, to)) {
            return;
        }
        to.post(() -> deliver.accept(to, value -> {
            if (!chance(5) && !isBlocked(from, to) && !to.dead()) {
                time.after(delay(), () -> from.post(() -> reply.complete(value)));
            }
        }));
    }

    private void fail(SimulatedNode from, CompletableFuture<?> reply, PeerException.Kind kind, Duration after) {
        time.after(after, () -> from.post(() -> reply.completeExceptionally(new PeerException(kind, "simulated"))));
    }
}
