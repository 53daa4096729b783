package org.basilrill.coordination.consensus;

import java.util.Optional;

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
    LEADER;

    /** Returns the role of a replica that takes part. */
    static ReplicaRole of(boolean leads, boolean votes, Optional<Election> election) {
        if (leads) {
            return LEADER;
        }
        if (!votes) {
            return LEARNER;
        }
        return election.map(running -> running.isPreVote() ? PRE_CANDIDATE : CANDIDATE)
                .orElse(FOLLOWER);
    }
}
