package io.beryldock.forwarding;

import io.beryldock.call.RequestId;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The calls that the target of this node runs now, by id. Thread safe. */
public final class ExecutionRegistry {

    private final Map<RequestId, Execution> running = new ConcurrentHashMap<>();

    private ExecutionRegistry() {}

    public static ExecutionRegistry create() {
        return new ExecutionRegistry();
    }

    void add(Execution execution) {
        running.put(execution.call().id(), execution);
    }

    void remove(RequestId id) {
        running.remove(id);
    }

    Optional<Execution> find(RequestId id) {
        return Optional.ofNullable(running.get(id));
    }

    /** Time left of the call that has most of it; 0 when none runs. */
    long longestRemainingNanos(long now) {
        long longest = 0;
        for (Execution execution : running.values()) {
            longest = Math.max(longest, execution.remainingNanos(now));
        }
        return longest;
    }

    /** The running call whose time left is the nearest one above or at this, by no more than the bound. */
    Optional<Execution> nextAbove(long remainingNanos, long boundNanos, long now) {
        Optional<Execution> nearest = Optional.empty();
        long least = boundNanos;
        for (Execution execution : running.values()) {
            long above = execution.remainingNanos(now) - remainingNanos;
            if (above >= 0 && above <= least) {
                least = above;
                nearest = Optional.of(execution);
            }
        }
        return nearest;
    }

    public int size() {
        return running.size();
    }
}
