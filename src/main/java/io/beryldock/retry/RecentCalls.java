package io.beryldock.retry;

import io.beryldock.call.RequestId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** The ids of the calls that ended last, as many as fit. Thread safe. */
final class RecentCalls {

    private final int capacity;
    private final Set<RequestId> ids;
    private final Deque<RequestId> oldestFirst;

    RecentCalls(int capacity) {
        this.capacity = capacity;
        this.ids = new HashSet<>();
        this.oldestFirst = new ArrayDeque<>();
    }

    synchronized void add(RequestId call) {
        if (!ids.add(call)) {
            return;
        }
        oldestFirst.add(call);
        if (oldestFirst.size() > capacity) {
            ids.remove(oldestFirst.poll());
        }
    }

    synchronized boolean contains(RequestId call) {
        return ids.contains(call);
    }
}
