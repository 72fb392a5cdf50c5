package io.beryldock.peer;

import java.util.List;

/**
 * Counters of a transport since its start, and its connections. Immutable.
 *
 * @param reconnects connections made after an earlier one to the same address
 * @param stalled connections abandoned as nothing made progress on them
 * @param droppedReplies replies that no waiting request matched
 * @param unknownFrames frames of a kind that this program doesn't know, left aside
 * @param connections the connections now
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
