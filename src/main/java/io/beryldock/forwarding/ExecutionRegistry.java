package io.beryldock.forwarding;

import io.beryldock.call.Call;
import io.beryldock.call.RequestId;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** The calls that the target of this node runs now, by id. Thread safe. */
public final class ExecutionRegistry {

    private final Map<RequestId, Execution> running = new ConcurrentHashMap<>();
    private final Map<String, Execution> byTag = new ConcurrentHashMap<>();
    private final Function<Call, Optional<String>> tagOf;

    private ExecutionRegistry(Function<Call, Optional<String>> tagOf) {
        this.tagOf = tagOf;
    }

    public static ExecutionRegistry create() {
        return create(call -> Optional.empty());
    }

    /**
     * A registry that finds calls by their tags too.
     *
     * @param tagOf the id under which the target knows a call, where its inner calls name that
     */
    public static ExecutionRegistry create(Function<Call, Optional<String>> tagOf) {
        return new ExecutionRegistry(tagOf);
    }

    void add(Execution execution) {
        running.put(execution.call().id(), execution);
        tagOf.apply(execution.call()).ifPresent(tag -> byTag.put(tag, execution));
    }

    void remove(RequestId id) {
        Execution ended = running.remove(id);
        if (ended != null) {
            tagOf.apply(ended.call()).ifPresent(tag -> byTag.remove(tag, ended));
        }
    }

    /** The running call that the target knows under the tag. */
    Optional<Execution> tagged(String tag) {
        return Optional.ofNullable(byTag.get(tag));
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
