package org.basilrill.coordination.consensus;

/** The current role of a replica in the control log. */
public enum ReplicaRole {
    /** Takes no part until its disk can be written again. */
    SUSPENDED,
    /** Outside the member set: receives records but has no vote. */
    LEARNER,
    FOLLOWER,
    /** Collects pre-votes before it starts an election. */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
