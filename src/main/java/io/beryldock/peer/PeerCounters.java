package io.beryldock.peer;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;

/** The counters of one transport. Thread safe. */
final class PeerCounters {

    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();
    private final LongAdder reconnects = new LongAdder();
    private final LongAdder stalled = new LongAdder();
    private final LongAdder droppedReplies = new LongAdder();
    private final LongAdder unknownFrames = new LongAdder();

    void unknownFrame() {
        unknownFrames.increment();
    }

    void frameRead(int bytes) {
        bytesIn.add(bytes);
        messagesIn.increment();
    }

    void frameWritten(int bytes) {
        bytesOut.add(bytes);
        messagesOut.increment();
    }

    void reconnected() {
        reconnects.increment();
    }

    void connectionStalled() {
        stalled.increment();
    }

    void droppedReply() {
        droppedReplies.increment();
    }

    PeerTransportStats snapshot(List<ConnectionSnapshot> connections) {
        return new PeerTransportStats(
                bytesIn.sum(),
                bytesOut.sum(),
                messagesIn.sum(),
                messagesOut.sum(),
                reconnects.sum(),
                stalled.sum(),
                droppedReplies.sum(),
                unknownFrames.sum(),
                List.copyOf(connections));
    }
}
