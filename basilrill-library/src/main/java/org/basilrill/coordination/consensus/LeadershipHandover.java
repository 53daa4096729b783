package org.basilrill.coordination.consensus;

import java.util.concurrent.CompletableFuture;
import org.basilrill.coordination.consensus.ConsensusMessage.TimeoutNow;

/**
 * Hands the leadership to one follower, once that holds the whole log. The leader accepts no proposals meanwhile, and
 * gives up after the longest election timeout, as waiting longer costs more than an election. Not thread safe.
 */
final class LeadershipHandover {
    private final ReplicaState state;
    private final PeerProgress successor;
    private final CompletableFuture<Boolean> done;
    private final long givenUpAt;
    private long repeatAt;

    /**
     * Begins a handover.
     *
     * @param done completes with whether this replica no longer leads
     */
    LeadershipHandover(ReplicaState state, PeerProgress successor, CompletableFuture<Boolean> done) {
        this.state = state;
        this.successor = successor;
        this.done = done;
        this.givenUpAt = state.now() + state.settings().maximumElectionTimeout().toNanos();
        this.repeatAt = state.now();
    }

    /** Tells the successor to stand if it is up to date; returns false once the handover is given up. */
    boolean proceed() {
        if (state.now() >= givenUpAt) {
            done.complete(false);
            return false;
        }
        boolean upToDate = successor.matchIndex() == state.log().lastIndex();
        if (upToDate && state.now() >= repeatAt) {
            repeatAt = state.now() + state.settings().heartbeat().toNanos();
            state.send(successor.peer(), new TimeoutNow(state.term()));
        }
        return true;
    }

    void leadershipEnded() {
        done.complete(true);
    }
}
