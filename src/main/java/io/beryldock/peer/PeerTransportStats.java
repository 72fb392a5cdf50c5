package io.beryldock.peer;

import java.util.List;

/**
 * The counters of a transport since its start, and its current connections. Immutable.
 *
 * @param bytesIn bytes of received frames
 * @param bytesOut bytes of written frames
 * @param messagesIn received frames
 * @param messagesOut written frames
 * @param reconnects connections made after an earlier one to the same address
 * @param stalled connections abandoned because they made no progress
 * @param droppedReplies replies that matched no request in flight
 * @param unknownFrames frames of an unknown kind, which were ignored
 * @param connections current connections
 */
public record PeerTransportStats(
        long bytesIn,
        long bytesOut,
        long messagesIn,
        long messagesOut,
        long reconnects,
        long stalled,
        long droppedReplies,
        long unknownFrames,
        List<ConnectionSnapshot> connections) {}
