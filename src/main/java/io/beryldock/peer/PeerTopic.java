package io.beryldock.peer;

/** The topics of messages between nodes. The number of a topic is sent on the wire and never changes. */
public enum PeerTopic {
    CALL(1),
    MEMBERSHIP(2),
    CONFIGURATION(3),
    TICKETS(4),
    QUERY(5),
    TIMELINE(6),
    QUARANTINE(7),
    STORE(8),
    QUOTA(9),
    CREDIT(10),
    LOAD(11);

    private final int number;

    PeerTopic(int number) {
        this.number = number;
    }

    public int number() {
        return number;
    }
}
