package org.basilrill.coordination.consensus;

import java.util.concurrent.CompletableFuture;
import org.basilrill.coordination.consensus.ConsensusMessage.TimeoutNow;

/**
 * Hands the leadership over to one follower once its log is up to date. The leader accepts no proposals in the
 * meantime. It cancels the handover after the maximum election timeout, because waiting longer costs more than an
 * election. Not thread safe.
 */
final class LeadershipHandover {
    private final ReplicaState state;
    private final PeerProgress successor;
    private final CompletableFuture<Boolean> completion;
    private final long deadlineAt;
    private long resendAt;

    /**
     * Starts a handover.
     *
     * @param completion completed with true if this replica no longer leads, with false if the handover timed out
     */
    LeadershipHandover(ReplicaState state, PeerProgress successor, CompletableFuture<Boolean> completion) {
        this.state = state;
        this.successor = successor;
        this.completion = completion;
        this.deadlineAt =
                state.now() + state.settings().maximumElectionTimeout().toNanos();
        this.resendAt = state.now();
    }

    /**
     * Instructs the successor to start an election if its log is up to date; returns false once the handover timed out.
     */
    boolean advanceHandover() {
        if (state.now() >= deadlineAt) {
            completion.complete(false);
            return false;
        }
        boolean successorUpToDate = successor.matchIndex() == state.log().lastIndex();
        if (successorUpToDate && state.now() >= resendAt) {
            resendAt = state.now() + state.settings().heartbeat().toNanos();
            state.send(successor.peer(), new TimeoutNow(state.term()));
        }
        return true;
    }

    void leadershipEnded() {
        completion.complete(true);
    }
}
