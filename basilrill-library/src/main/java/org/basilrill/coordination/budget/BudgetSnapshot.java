package org.basilrill.coordination.budget;

import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;

/**
 * State of one account's budget as this instance sees it, for the administration API. Immutable and thread safe.
 *
 * @param owner instance that owns the bucket as far as known here
 * @param epoch epoch of that owner; 0 if none is known
 * @param bucket present only on the owner
 * @param unspentHere tokens granted to this instance and not spent
 * @param waiting requests that wait for the owner
 */
public record BudgetSnapshot(
        AccountId account,
        Optional<InstanceId> owner,
        long epoch,
        Optional<Bucket> bucket,
        long unspentHere,
        int waiting) {
    /**
     * State of the bucket at its owner, in tokens.
     *
     * @param outstanding unspent tokens by instance, as far as the owner knows; grants of earlier epochs count toward
     *     the owner
     */
    public record Bucket(long level, long burst, Map<InstanceId, Long> outstanding) {
        public Bucket {
            outstanding = Map.copyOf(outstanding);
        }
    }
}
