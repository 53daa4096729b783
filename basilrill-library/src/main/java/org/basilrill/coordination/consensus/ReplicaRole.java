package org.basilrill.coordination.consensus;

/** The current role of a replica in the control log. */
public enum ReplicaRole {
    /** Outside the member set: receives records but has no vote. */
    LEARNER,
    FOLLOWER,
    /** Collects pre-votes before it starts an election. */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
