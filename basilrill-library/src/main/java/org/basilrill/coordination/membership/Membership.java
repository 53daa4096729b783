package org.basilrill.coordination.membership;

import java.util.Collection;
import java.util.Optional;
import org.basilrill.api.InstanceId;

/** Reads the instances known to this one. Implementations are thread safe; results are snapshots. */
public interface Membership {
    /** Returns every instance that is not removed, this one included. */
    Collection<Member> members();

    /** Returns one instance, if known. */
    Optional<Member> member(InstanceId id);

    /**
     * One instance.
     *
     * @param callerAddress IP number and port for callers
     * @param peerAddress IP number and port for other instances
     * @param suspected whether nothing new was heard of it for the suspicion timeout
     * @param draining whether it takes no new work
     * @param current whether it confirmed its revision lately
     * @param revision revision of the rules in force there
     * @param requestsInFlight load, for the spread of callers
     * @param replica whether it holds a replica of the control log
     */
    record Member(
            InstanceId id,
            String dataCentre,
            String callerAddress,
            String peerAddress,
            boolean suspected,
            boolean draining,
            boolean current,
            long revision,
            int requestsInFlight,
            boolean replica) {}
}
