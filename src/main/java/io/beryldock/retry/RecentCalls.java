package io.beryldock.retry;

import io.beryldock.call.RequestId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Bounded set of the ids of the calls that ended last; evicts the oldest id when full. Thread safe. */
final class RecentCalls {

    private final int capacity;
    private final Set<RequestId> ids;
    private final Deque<RequestId> insertionOrder;

    RecentCalls(int capacity) {
        this.capacity = capacity;
        this.ids = new HashSet<>();
        this.insertionOrder = new ArrayDeque<>();
    }

    synchronized void add(RequestId call) {
        if (!ids.add(call)) {
            return;
        }
        insertionOrder.add(call);
        if (insertionOrder.size() > capacity) {
            ids.remove(insertionOrder.poll());
        }
    }

    synchronized boolean contains(RequestId call) {
        return ids.contains(call);
    }
}
