package io.beryldock.call;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates the request ids of one node incarnation.
 *
 * <p>Invariant: no id is generated twice. Thread safe.
 */
public final class RequestIds {

    private final Incarnation incarnation;
    private final AtomicLong counter = new AtomicLong();

    private RequestIds(Incarnation incarnation) {
        this.incarnation = incarnation;
    }

    public static RequestIds of(Incarnation incarnation) {
        return new RequestIds(incarnation);
    }

    public RequestId next() {
        return new RequestId(incarnation, counter.incrementAndGet());
    }

    public Incarnation incarnation() {
        return incarnation;
    }
}
