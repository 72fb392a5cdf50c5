package io.beryldock.timeline;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.util.Optional;
import java.util.Random;

/** Prints the heap that a full ring with the capacity of a node's ring retains. Run manually. */
final class EventRingMemoryMeasurement {

    private static final int CAPACITY = 4096;
    private static final int EVENTS = 20_000;
    private static final int KILOBYTE = 1024;

    private EventRingMemoryMeasurement() {}

    public static void main(String[] args) throws InterruptedException {
        long before = used();
        EventRing ring = EventRing.create(
                NodeId.of("gent-a-lists-1"),
                DataCentre.of("gent-a"),
                HybridLogicalClock.system(),
                CAPACITY,
                new Random(1));
        Incarnation incarnation = new Incarnation(1, 2);
        for (int i = 0; i < EVENTS; i++) {
            Optional<RequestId> request = Optional.of(new RequestId(incarnation, i));
            ring.record(EventKind.LEVEL_CHANGED, "holdings", "1024 to " + i);
            ring.record(EventKind.SHED_AT_DOOR, request, "holdings", "class browsing, level " + i + " of 1024");
        }
        System.out.println("KB of a full ring: " + (used() - before) / KILOBYTE + ", events in it: "
                + ring.since(HlcTime.ZERO).size());
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 5; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
