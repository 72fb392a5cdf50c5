package io.beryldock.membership;

/**
 * What membership has cost this node since its start. Immutable.
 *
 * @param messagesSent messages handed to the transport
 * @param bytesSent bytes of these, without the frame of the connection
 * @param messagesReceived messages taken from the transport
 * @param bytesReceived bytes of these
 * @param storeReads reads of the platform store
 * @param storeWrites writes to the platform store
 */
public record MembershipStatistics(
        long messagesSent,
        long bytesSent,
        long messagesReceived,
        long bytesReceived,
        long storeReads,
        long storeWrites) {}
