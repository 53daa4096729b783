package org.basilrill.coordination.membership;

import java.util.Collection;
import java.util.Optional;
import org.basilrill.api.InstanceId;

/** The instances known to this one. Implementations are thread safe; results are snapshots. */
public interface Membership {
    /** Returns all known instances that are not removed, including this one. */
    Collection<Member> members();

    /** Returns one instance, if known. */
    Optional<Member> member(InstanceId id);

    /**
     * A known instance.
     *
     * @param callerAddress IP number and port for callers
     * @param peerAddress IP number and port for other instances
     * @param suspected whether its version has not advanced within the suspicion timeout
     * @param draining whether it accepts no new requests
     * @param current whether it has recently confirmed that its rules are current
     * @param revision revision of the rules in force there
     * @param requestsInFlight load, used to distribute the callers
     * @param replica whether it holds a replica of the control log
     * @param relay how it carries exchanges with targets for others, if it does
     * @param cutFromTargets whether it has lost its own paths to most targets
     * @param forwardsMessages whether it passes messages on for others whose links are down
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
            boolean replica,
            Optional<RelayAccess> relay,
            boolean cutFromTargets,
            boolean forwardsMessages) {}
}
