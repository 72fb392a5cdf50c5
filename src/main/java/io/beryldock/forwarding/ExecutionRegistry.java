package io.beryldock.forwarding;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.beryldock.call.Call;
import io.beryldock.call.RequestId;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The calls that this node's target is running, by id.
 *
 * <p>Remembers the tags of the last {@value #MAX_ENDED_REPEATS} repeated calls that have ended here, because a target
 * may go on with a call that its node has given up. Thread safe.
 */
public final class ExecutionRegistry {

    static final int MAX_ENDED_REPEATS = 4096;

    private final Map<RequestId, Execution> running = new ConcurrentHashMap<>();
    private final Map<String, Execution> byTag = new ConcurrentHashMap<>();
    private final Cache<String, Boolean> endedRepeats =
            CacheBuilder.newBuilder().maximumSize(MAX_ENDED_REPEATS).build();
    private final Function<Call, Optional<String>> tagOf;

    private ExecutionRegistry(Function<Call, Optional<String>> tagOf) {
        this.tagOf = tagOf;
    }

    public static ExecutionRegistry create() {
        return create(call -> Optional.empty());
    }

    /**
     * Creates a registry that also finds calls by their tags.
     *
     * @param tagOf returns the id under which the target knows a call, where the call's inner calls name that id
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
            tagOf.apply(ended.call()).ifPresent(tag -> forget(tag, ended));
        }
    }

    private void forget(String tag, Execution ended) {
        byTag.remove(tag, ended);
        if (ended.call().context().repeat()) {
            endedRepeats.put(tag, true);
        }
    }

    /** Whether a repeated call with the tag ended here lately; its run may go on and make calls. */
    boolean isEndedRepeat(String tag) {
        return endedRepeats.getIfPresent(tag) != null;
    }

    /** Returns the running call that the target knows under the tag. */
    Optional<Execution> findByTag(String tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    Optional<Execution> find(RequestId id) {
        return Optional.ofNullable(running.get(id));
    }

    /** Returns the longest time left of the running calls; 0 when none runs. */
    long longestRemainingNanos(long now) {
        long longest = 0;
        for (Execution execution : running.values()) {
            longest = Math.max(longest, execution.remainingNanos(now));
        }
        return longest;
    }

    /** Returns the running call whose time left exceeds the given one by the least, within the maximum excess. */
    Optional<Execution> findByRemainingTime(long remainingNanos, long maxExcessNanos, long now) {
        Optional<Execution> nearest = Optional.empty();
        long leastExcess = maxExcessNanos;
        for (Execution execution : running.values()) {
            long excess = execution.remainingNanos(now) - remainingNanos;
            if (excess >= 0 && excess <= leastExcess) {
                leastExcess = excess;
                nearest = Optional.of(execution);
            }
        }
        return nearest;
    }

    public int size() {
        return running.size();
    }
}
