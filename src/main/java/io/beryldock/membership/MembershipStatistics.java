package io.beryldock.membership;

/**
 * The cost of membership to this node since its start. Immutable.
 *
 * @param messagesSent messages passed to the transport
 * @param bytesSent bytes of the messages sent, without the frame of the connection
 * @param messagesReceived messages received from the transport
 * @param bytesReceived bytes of the messages received
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
