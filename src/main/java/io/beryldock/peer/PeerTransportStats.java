package io.beryldock.peer;

import java.util.List;

/**
 * Counters of a transport since its start, and its connections. Immutable.
 *
 * @param reconnects connections made after an earlier one to the same address
 * @param stalled connections abandoned as nothing made progress on them
 * @param droppedReplies replies that no waiting request matched
 */
public record PeerTransportStats(
        long bytesIn,
        long bytesOut,
        long messagesIn,
        long messagesOut,
        long reconnects,
        long stalled,
        long droppedReplies,
        List<ConnectionSnapshot> connections) {}
