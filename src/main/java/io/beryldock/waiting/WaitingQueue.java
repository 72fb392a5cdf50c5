package io.beryldock.waiting;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * The waiting requests, indexed by line, by importance and by the end of their wait.
 *
 * <p>Invariants: a request is in all three indexes or in none; no line is empty. Guarded by the lock of the entry.
 */
final class WaitingQueue {

    private static final ImmutableList<Lane> LANES = ImmutableList.copyOf(Lane.values());

    private final Map<WaitingLine.Key, WaitingLine> lines = new HashMap<>();
    private final TreeSet<Waiter> byImportance = new TreeSet<>(Waiter.BY_IMPORTANCE);
    private final TreeSet<Waiter> byExpiry = new TreeSet<>(Waiter.BY_EXPIRY);
    private final Map<Lane, int[]> countsByLane = new EnumMap<>(Lane.class);
    private long bytes;

    WaitingQueue() {
        LANES.forEach(lane -> countsByLane.put(lane, new int[PriorityClass.RANKS]));
    }

    void add(Waiter waiter) {
        lines.computeIfAbsent(WaitingLine.Key.of(waiter), WaitingLine::new).add(waiter);
        byImportance.add(waiter);
        byExpiry.add(waiter);
        countsByLane.get(waiter.lane())[waiter.rank()]++;
        bytes += waiter.request().bytes();
    }

    /** Removes a request; without effect, and false, when it is not waiting. */
    boolean remove(Waiter waiter) {
        if (!byImportance.remove(waiter)) {
            return false;
        }
        byExpiry.remove(waiter);
        WaitingLine.Key key = WaitingLine.Key.of(waiter);
        WaitingLine line = lines.get(key);
        line.remove(waiter);
        if (line.isEmpty()) {
            lines.remove(key);
        }
        countsByLane.get(waiter.lane())[waiter.rank()]--;
        bytes -= waiter.request().bytes();
        return true;
    }

    boolean isEmpty() {
        return byImportance.isEmpty();
    }

    int size() {
        return byImportance.size();
    }

    long bytes() {
        return bytes;
    }

    /** Whether any waiting request takes the same credits. */
    boolean waitsFor(WaitingLine.Key key) {
        for (Lane lane : LANES) {
            if (lines.containsKey(key.inLane(lane))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the number of waiting requests of more important ranks, and of those of the rank itself in this lane or
     * earlier ones.
     */
    int ahead(int rank, Lane lane) {
        int sum = 0;
        for (Lane other : LANES) {
            int ranks = other.compareTo(lane) <= 0 ? rank + 1 : rank;
            sum += Arrays.stream(countsByLane.get(other), 0, ranks).sum();
        }
        return sum;
    }

    private int countOfRank(int rank) {
        return LANES.stream().mapToInt(lane -> countsByLane.get(lane)[rank]).sum();
    }

    /** Returns a copy of the lines, which does not change while requests leave the queue. */
    List<WaitingLine> lines() {
        return new ArrayList<>(lines.values());
    }

    List<Waiter> all() {
        return List.copyOf(byImportance);
    }

    Waiter leastImportant() {
        return byImportance.last();
    }

    Waiter firstToExpire() {
        return byExpiry.first();
    }

    long longestWaitNanos(long now) {
        return byImportance.stream()
                .mapToLong(waiter -> waiter.waitedNanos(now))
                .max()
                .orElse(0);
    }

    ImmutableList<Integer> byRank() {
        return IntStream.range(0, PriorityClass.RANKS)
                .mapToObj(this::countOfRank)
                .collect(ImmutableList.toImmutableList());
    }
}
