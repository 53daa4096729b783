package org.basilrill.api;

/** Names the component of an instance that a message between instances is addressed to. */
public enum PeerSubject {
    CONSENSUS(1),
    CONTROL(2),
    MEMBERSHIP(3),
    BUDGET(4),
    PLACEMENT(5),
    TARGET_LIMIT(6);

    private final int wireNumber;

    PeerSubject(int wireNumber) {
        this.wireNumber = wireNumber;
    }

    /** Returns the number used in the message envelope; never changes for an existing subject. */
    public int wireNumber() {
        return wireNumber;
    }
}
