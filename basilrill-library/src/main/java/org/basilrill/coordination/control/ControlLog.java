package org.basilrill.coordination.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.basilrill.api.InstanceId;

/** Access to the control log through the replica of this instance. Implementations are thread safe and never block. */
public interface ControlLog {
    /**
     * Proposes an encoded command.
     *
     * @return the encoded result once the command is committed and applied; fails with {@code NOT_LEADER} if nothing
     *     was proposed, and with {@code CONTROL_UNAVAILABLE} if leadership was lost, in which case the command may
     *     still take effect
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Confirms leadership by a quorum round that starts after this call.
     *
     * @return the commit index at the time of the call, completed once this replica has applied it; fails with {@code
     *     NOT_LEADER} or {@code CONTROL_UNAVAILABLE}
     */
    CompletableFuture<Long> confirm();

    /** Returns the leader known to this replica. */
    Optional<InstanceId> leader();

    /** Returns whether this replica believes that it is the leader. */
    boolean isLeader();

    /**
     * Hands the leadership over to one of these replicas, if this replica leads and one of them has a recent copy of
     * the log.
     *
     * @return whether this replica no longer leads; fails with {@code CONTROL_UNAVAILABLE} once the replica has stopped
     */
    CompletableFuture<Boolean> handOverLeadership(Predicate<InstanceId> successors);

    /** Returns the current term of this replica; it increases with each election. */
    long term();
}
