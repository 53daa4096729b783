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
        MemberSet members) {}
