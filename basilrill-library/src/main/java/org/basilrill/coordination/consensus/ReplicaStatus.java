package org.basilrill.coordination.consensus;

import java.util.Optional;
import org.basilrill.api.InstanceId;

/**
 * State of a replica at one moment. Immutable and thread safe.
 *
 * @param self identity of the replica
 * @param leader leader as far as the replica knows
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
