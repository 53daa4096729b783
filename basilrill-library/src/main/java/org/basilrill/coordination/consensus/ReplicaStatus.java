package org.basilrill.coordination.consensus;

import java.util.Optional;
import org.basilrill.api.InstanceId;

/**
 * A snapshot of the state of a replica. Immutable and thread safe.
 *
 * @param self identity of the replica
 * @param leader the leader known to the replica
 * @param commitIndex index of the last record known to be committed, which is also applied
 * @param members latest member set in the log
 */
public record ReplicaStatus(
        ReplicaId self,
        ReplicaRole role,
        long term,
        Optional<InstanceId> leader,
        long commitIndex,
        long lastIndex,
        MemberSet members) {

    /** Returns the status of a replica whose data folder could not be opened yet. */
    public static ReplicaStatus unopened(InstanceId self) {
        ReplicaId unknown = new ReplicaId(self, AddressedMessage.ANY_INCARNATION);
        return new ReplicaStatus(unknown, ReplicaRole.SUSPENDED, 0, Optional.empty(), 0, 0, MemberSet.empty());
    }

    /** Returns the status of this replica while it is suspended. */
    public ReplicaStatus suspended() {
        return new ReplicaStatus(self, ReplicaRole.SUSPENDED, term, Optional.empty(), commitIndex, lastIndex, members);
    }
}
