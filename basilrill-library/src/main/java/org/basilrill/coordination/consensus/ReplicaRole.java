package org.basilrill.coordination.consensus;

/** What a replica currently does in the control log. */
public enum ReplicaRole {
    /** Not in the member set: receives records but has no vote. */
    LEARNER,
    FOLLOWER,
    /** Asks whether the others would vote for it. */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
